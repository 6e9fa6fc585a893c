package crowd_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"pistachioroad.dev/pistachioroad/internal/settings"
	"pistachioroad.dev/pistachioroad/test/fleet"
)

// The limits of the VM of an entry or a sidecar, and of the entry's connections.
const (
	vmMemory         = 206 << 20
	vmDescriptors    = 1500
	entryConnections = 300
	// fewConnections is a crowd for requests each of which takes much memory.
	fewConnections = 20
	portLinks      = 7100
	portOperators  = 7200
)

// startEntry starts a fleet with one entry and returns the machines of the entry and of one
// sidecar.
func startEntry(t *testing.T) (entry, sidecar *machine) {
	entry, sidecar, _ = startEntryBefore(t, "")
	return entry, sidecar
}

// startEntryBefore also returns the machine of the sidecar of the service "faulty", whose server
// is at the given address, unless that is empty.
func startEntryBefore(t *testing.T, faultyAddress string) (entry, sidecar, faulty *machine) {
	t.Helper()
	services := map[string]int{"holds": 1}
	if faultyAddress != "" {
		services["faulty"] = 1
	}
	f, err := fleet.Start(context.Background(), fleet.Options{
		Bin: bin, Dir: t.TempDir(), Entries: 1,
		Engines:  []fleet.Engine{{Role: "decode", Model: "draft"}},
		Services: services,
		ModifySettings: func(s *settings.Settings) {
			if s.Entry != nil {
				s.Entry.Limits.Connections = entryConnections
			}
			if s.Sidecar != nil && s.Sidecar.BackendServer.Service == "faulty" {
				s.Sidecar.BackendServer.Address = faultyAddress
			}
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Stop)
	machineOf := func(vm string) *machine {
		ip, _, err := net.SplitHostPort(f.OperatorAddress(vm))
		if err != nil {
			t.Fatal(err)
		}
		m := newMachine(t, f.Processes[vm], ip, vmMemory, vmDescriptors, faultyIP())
		m.ordinary = func() (*http.Request, error) {
			return http.NewRequest(http.MethodGet, f.URL(f.Entries[0])+"/services/holds/calendar?model=1", nil)
		}
		return m
	}
	entry, sidecar = machineOf(f.Entries[0]), machineOf(f.Services["holds"][0])
	if faultyAddress != "" {
		faulty = machineOf(f.Services["faulty"][0])
	}
	entry.expectAnswer(t, "before the crowd")
	return entry, sidecar, faulty
}

func (m *machine) address(port int) string { return net.JoinHostPort(m.ip, strconv.Itoa(port)) }

func endureEntry(t *testing.T, size int, b behaviour) {
	t.Helper()
	entry, _ := startEntry(t)
	entry.endure(t, size, entry.address(portCallers), b)
}

// whole returns the behaviour of clients that send a whole body.
func whole(path, body string) behaviour {
	return func(c net.Conn, sent func()) {
		_ = write(c, head(path, fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)))+body)
		sent()
		stay(c)
	}
}

// Guards against the memory of bodies that an entry has received in part.
func TestEntryBodiesReceivedInPart(t *testing.T) {
	endureEntry(t, mostConnections, announced("/v1/completions", maxBodyBytes, 2<<20))
}

// Guards against the memory of bodies without a length at an entry.
func TestEntryChunkedBodies(t *testing.T) {
	endureEntry(t, mostConnections, chunked("/v1/completions", 4*maxBodyBytes))
}

// Guards against copies of large prompts while their requests wait or run.
func TestEntryWholeBodies(t *testing.T) {
	endureEntry(t, mostConnections, whole("/v1/completions", `{"model":"draft","max_tokens":100000,"prompt":"`+strings.Repeat("x ", maxBodyBytes/2-100)+`"}`))
}

// Guards against documents that take far more memory decoded than their bytes.
func TestEntryBodiesOfManyValues(t *testing.T) {
	endureEntry(t, fewConnections, whole("/v1/chat/completions", `{"model":"draft","messages":[`+strings.Repeat("{},", maxBodyBytes/3-100)+`{}]}`))
}

// Guards against documents that are nested as deep as their size allows.
func TestEntryNestedBodies(t *testing.T) {
	const depth = 9000
	endureEntry(t, fewConnections, whole("/v1/chat/completions", `{"model":"draft","messages":[`+strings.Repeat(strings.Repeat("[", depth)+strings.Repeat("]", depth)+",", maxBodyBytes/2/depth-1)+`{}]}`))
}

// Guards against plain calls whose large bodies are copied.
func TestEntryWholeBodiesOfCalls(t *testing.T) {
	endureEntry(t, mostConnections, whole("/services/holds/holds", strings.Repeat("x", maxBodyBytes)))
}

// Guards against requests without a handler that hold their connections until their bodies come.
func TestEntryRefusalsBeforeTheBody(t *testing.T) {
	endureEntry(t, tooMany, announced("/unknown", 100_000, 1))
}

// Guards against connections without requests that leave none to other callers of an entry.
func TestEntryIdleConnections(t *testing.T) { endureEntry(t, tooMany, idle) }

// Guards against the memory of an entry's heads of short fields.
func TestEntryHeadsOfShortFields(t *testing.T) {
	endureEntry(t, mostConnections, shortFields(maxHeaderBytes*3/4, "Content-Length: 100\r\n\r\n"))
}

// Guards against requests that the kernel keeps while the first of them is answered.
func TestEntryPipelinedRequests(t *testing.T) {
	endureEntry(t, mostConnections, pipelined(head("/unknown", "Content-Length: 0\r\n\r\n"), 2<<20))
}

// Guards against connections to the addresses for operators and links that use up a process's
// descriptors.
func TestConnectionsToOperatorsAndLinks(t *testing.T) {
	for _, port := range []int{portOperators, portLinks} {
		for i, role := range []string{"entry", "sidecar"} {
			t.Run(role+" "+strconv.Itoa(port), func(t *testing.T) {
				entry, sidecar := startEntry(t)
				m := []*machine{entry, sidecar}[i]
				m.endure(t, 2000, m.address(port), idle)
			})
		}
	}
}

// Guards against the memory of heads that are sent to the operator API.
func TestHeadsToOperators(t *testing.T) {
	entry, _ := startEntry(t)
	entry.endure(t, mostConnections, entry.address(portOperators), shortFields(900<<10, ""))
}

// Guards against memory of entries and sidecars for heads and trailers that a faulty service sends
// without end.
func TestEntryEndlessHeads(t *testing.T) {
	endureFaultyService(t, "field", "fields", "many-fields", "interim", "trailers")
}

// Guards against memory of entries and sidecars for bodies that a faulty service sends without end.
func TestEntryEndlessBodies(t *testing.T) {
	endureFaultyService(t, "chunks", "unframed", "length", "error", "comments", "empty-lines")
}

// endureFaultyService exposes an entry and a sidecar to callers of a service with endless answers.
func endureFaultyService(t *testing.T, answers ...string) {
	t.Helper()
	for _, name := range answers {
		t.Run(name, func(t *testing.T) {
			entry, _, sidecar := startEntryBefore(t, serveFaulty(t))
			entry.endure(t, mostConnections, entry.address(portCallers), func(c net.Conn, sent func()) {
				_ = write(c, "GET /services/faulty/"+name+" HTTP/1.1\r\nHost: h\r\n\r\n")
				sent()
				stay(c)
			})
			sidecar.expectWithinLimits(t)
		})
	}
}
