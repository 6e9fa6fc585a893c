package streamversion_test

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"pistachioroad.dev/pistachioroad/internal/decide/streamversion"
	"pistachioroad.dev/pistachioroad/internal/directory"
)

func at(seconds int) time.Time { return time.Unix(1_000_000+int64(seconds), 0) }

// boot returns the boot-time clock at a time.
func boot(t time.Time) time.Duration { return t.Sub(at(-1000)) }

const life = int(streamversion.MaxStreamLife / time.Second)

func TestRecordsKeepStreamsForTheirLongestLife(t *testing.T) {
	r := streamversion.NewRecords()
	v1, v2 := version("llm", "v1"), version("llm", "v2")
	if !r.Add(at(0), 1, v1) || r.Add(at(1), 1, v2) || !r.Add(at(1), 1, v1) {
		t.Error("the first record of a stream does not stay")
	}
	for second := 1; second <= life; second++ {
		r.Add(at(second), streamversion.StreamID(1000+second), v2)
		if v, ok := r.Lookup(1); !ok || v != v1 {
			t.Fatalf("after %d s: %v, %v", second, v, ok)
		}
	}
	r.Add(at(2*life), 2, v2)
	r.Add(at(3*life), 3, v2)
	if _, ok := r.Lookup(1); ok || r.Len() != 2 {
		t.Errorf("a stream is kept for three times its life, %d records", r.Len())
	}
}

// Guards against a record that is forgotten in the middle of a stream that is taken up again
// and again.
func TestRecordsKeepAStreamThatIsAddedAgain(t *testing.T) {
	r := streamversion.NewRecords()
	v1 := version("llm", "v1")
	for second := 0; second < 5*life; second += life - 1 {
		r.Add(at(second), 1, v1)
	}
	if _, ok := r.Lookup(1); !ok {
		t.Error("forgotten")
	}
}

func TestRecordsAreBounded(t *testing.T) {
	r := streamversion.NewRecords()
	for id := range 300_000 {
		r.Add(at(0), streamversion.StreamID(id), version("llm", "v1"))
	}
	if r.Len() > 1<<17 {
		t.Errorf("%d records", r.Len())
	}
	if _, ok := r.Lookup(299_999); !ok {
		t.Error("the newest stream is forgotten")
	}
}

// Guards against the conclusion that only one version can have begun a stream while another
// one serves, or did within the life of a stream.
func TestHistoryNamesAVersionOnlyIfNoOtherCanHaveBegunAStream(t *testing.T) {
	v1, v2, other := version("llm", "v1"), version("llm", "v2"), version("desk", "v7")
	type observation struct {
		second   int
		versions []streamversion.Version
		// missed says that changes before it may have been missed.
		missed bool
	}
	type versions = []streamversion.Version
	for _, test := range []struct {
		name string
		// longAgo says that the first versions were there long before.
		longAgo  bool
		observed []observation
		// cutOff says that nothing is known after the last observation.
		cutOff bool
		second int
		want   streamversion.Version
		ok     bool
	}{
		{"nothing observed", true, nil, false, 0, v1, false},
		{"there long before", true, []observation{{0, versions{v1, other}, false}}, false, 0, v1, true},
		{"start", false, []observation{{0, versions{v1, other}, false}}, false, 0, v1, false},
		{"start within the life of a stream", false, []observation{{0, versions{v1}, false}}, false, life, v1, false},
		{"start long ago", false, []observation{{0, versions{v1}, false}}, false, life + 1, v1, true},
		{"two versions", true, []observation{{0, versions{v1}, false}, {1, versions{v1, v2}, false}}, false, 5, v1, false},
		{"the other has just left", true, []observation{{0, versions{v1, v2}, false}, {10, versions{v2}, false}}, false, 10 + life, v1, false},
		{"the other may still run", true, []observation{{0, versions{v1, v2}, false}, {10, versions{v2}, false}}, false, 20 + life, v1, false},
		{"the other left long ago", true, []observation{{0, versions{v1, v2}, false}, {10, versions{v2}, false}}, false, 21 + life, v2, true},
		{"the other has come back", true, []observation{{0, versions{v1, v2}, false}, {10, versions{v2}, false}, {20, versions{v1, v2}, false}}, false, 100, v2, false},
		{"the only one has left", true, []observation{{0, versions{v1}, false}, {10, nil, false}}, false, 11, v1, true},
		{"all left long ago", true, []observation{{0, versions{v1}, false}, {10, nil, false}}, false, 100, v1, false},
		{"there all the time", true, []observation{{0, versions{v1}, false}, {1000, versions{v2}, false}}, false, 1001, v1, false},
		{"nothing observed for a while", true, []observation{{0, versions{v1}, false}, {20, versions{v1}, false}, {26, versions{v1}, true}}, false, 27, v1, false},
		{"nothing observed, long ago", true, []observation{{20, versions{v1}, false}, {26, versions{v1}, true}}, false, 27 + life, v1, true},
		{"nothing observed since", true, []observation{{0, versions{v1}, false}}, true, 26, v1, false},
	} {
		h := streamversion.NewHistory()
		var coverage directory.Coverage
		if test.longAgo && len(test.observed) > 0 {
			h.Observe(at(-life-1), test.observed[0].versions)
			coverage.Relist(boot(at(-life - 1)))
		}
		for i, o := range test.observed {
			h.Observe(at(o.second), o.versions)
			if o.missed || (i == 0 && !test.longAgo) {
				coverage.Relist(boot(at(o.second)))
			}
			coverage.Extend(boot(at(o.second)))
		}
		if !test.cutOff {
			coverage.Extend(boot(at(test.second)))
		}
		covered := coverage.Covers(boot(at(test.second)), streamversion.MaxStreamLife)
		got := h.Served(at(test.second), v1.Service, streamversion.MaxStreamLife, covered)
		if got.Certain() != test.ok || (test.ok && got.Version != test.want) {
			t.Errorf("%s: %+v", test.name, got)
		}
	}
}

// Guards against a version that is not known because its servers came and went between two
// observations.
func TestHistoryHasVersionsThatNoObservationHas(t *testing.T) {
	v1, v2 := version("llm", "v1"), version("llm", "v2")
	h := streamversion.NewHistory()
	h.Observe(at(0), []streamversion.Version{v1})
	h.Saw(at(1), v2)
	h.Observe(at(2), []streamversion.Version{v1})
	if s := h.Served(at(2), v1.Service, streamversion.MaxStreamLife, true); s.Certain() {
		t.Errorf("%+v", s)
	}
}

// Guards against the loss of a stream's record when one gateway joins or leaves.
func TestGatewaysMoveByOneRankWhenOneJoins(t *testing.T) {
	var names []string
	for n := range 20 {
		names = append(names, "g"+strconv.Itoa(n))
	}
	before, after := streamversion.NewGateways(names[1:]), streamversion.NewGateways(names)
	keeps := map[string]int{}
	for id := range streamversion.StreamID(20_000) {
		kept, asked := before.First(id*0x9e3779b97f4a7c15, 2), after.First(id*0x9e3779b97f4a7c15, 4)
		if len(kept) != 2 || len(asked) != 4 || !slices.Contains(asked, kept[0]) || !slices.Contains(asked, kept[1]) {
			t.Fatalf("stream %d: kept by %v, asked are %v", id, kept, asked)
		}
		keeps[kept[0]]++
	}
	for name, count := range keeps {
		if share := float64(count) * 19 / 20_000; share < 0.8 || share > 1.2 {
			t.Errorf("%s keeps %.2f times its share", name, share)
		}
	}
}

func BenchmarkFirstOf350Gateways(b *testing.B) {
	var names []string
	for n := range 350 {
		names = append(names, "g"+strconv.Itoa(n))
	}
	g := streamversion.NewGateways(names)
	for n := range b.N {
		g.First(streamversion.StreamID(n), 2)
	}
}
