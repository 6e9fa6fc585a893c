package membudget

import (
	"testing"
)

// Guards against shares that together exceed the memory of the process.
func TestSharesFitIntoTheMemory(t *testing.T) {
	for _, memory := range []int64{64 << 20, 136 << 20, 206 << 20, 8 << 30} {
		for _, connections := range []int{1, 300, 2170, 100_000} {
			p := PlanFor(memory, connections)
			heap := int64(p.Connections)*connectionBytes + p.Heads + p.ServerHeads + p.SmallBodies + p.LargeBodies + p.Answers + int64(p.CachedSegments)*segmentBytes
			if heap > p.Heap {
				t.Errorf("%d bytes, %d connections: the parts of the heap have %d bytes, the heap %d", memory, connections, heap, p.Heap)
			}
			unread := int64(p.Connections)*int64(p.ReceiveBuffer+p.ServerReceiveBuffer)*ReceiveOverhead + p.LargeReceiveBuffers
			if programBytes+p.Heap+unread > memory {
				t.Errorf("%d bytes, %d connections: the heap has %d bytes, receive buffers %d", memory, connections, p.Heap, unread)
			}
			if p.Connections < 1 || p.Connections > connections {
				t.Errorf("%d bytes, %d connections: %d connections", memory, connections, p.Connections)
			}
		}
	}
}

func TestBudgetIsLimited(t *testing.T) {
	b := New("test.budget", 10)
	if !b.Acquire(6) || b.Acquire(5) || !b.Acquire(4) || b.Used() != 10 {
		t.Errorf("%d of 10 bytes reserved", b.Used())
	}
	b.Release(10)
	if !b.Acquire(10) {
		t.Error("released memory cannot be reserved again")
	}
}
