package process

import (
	"context"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pistachioroad.dev/pistachioroad/internal/backend"
	"pistachioroad.dev/pistachioroad/internal/decide/place"
	"pistachioroad.dev/pistachioroad/internal/directory"
	"pistachioroad.dev/pistachioroad/internal/gateway"
	"pistachioroad.dev/pistachioroad/internal/request"
	"pistachioroad.dev/pistachioroad/internal/store"
	"pistachioroad.dev/pistachioroad/platform"
	"pistachioroad.dev/pistachioroad/test/standin/objectstore"
)

var _ = Describe("the learned state of engines", func() {
	var (
		objects *objectstore.Store
		client  *platform.Store
	)
	BeforeEach(func() {
		objects = objectstore.New()
		server := httptest.NewServer(objects)
		DeferCleanup(server.CloseClientConnections)
		client = platform.NewStore(strings.TrimPrefix(server.URL, "http://"))
	})
	newGateway := func() *gateway.Gateway {
		return gateway.New(gateway.Config{Codec: platform.Codec{}, Directory: directory.New(client, platform.Codec{}, platform.ObjectKinds)})
	}
	// learned returns what a fleet has learned from a hundred answers.
	learned := func() map[string]place.Snapshot {
		f := place.NewFleet()
		f.SetEngines([]place.Engine{{ID: "e", Role: backend.Decode, KVTokens: 1_000_000, Incarnation: 7}})
		now := time.Unix(1_000_000_000, 0)
		for n := range 100 {
			id := place.JobID(n)
			f.AddPlacement(now, place.Placement{ID: id, Prompt: request.Prompt{Tokens: 1_000}, Plan: place.Plan{PrefillEngine: "e", DecodeEngine: "e"}, Remaining: time.Minute})
			now = now.Add(50 * time.Millisecond)
			f.ObserveInterEventTime(now, id, 50*time.Millisecond)
			f.ObserveAnswerLength(100, 100)
			f.JobFinished(now, id)
		}
		s, ok := f.Snapshot()
		Expect(ok).To(BeTrue())
		return map[string]place.Snapshot{"llm": s}
	}
	save := func(s *saver, services map[string]place.Snapshot) error {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		return s.save(ctx, services)
	}

	// Guards against bad placement after all gateways lost power: all callers resume their
	// answers at the same time, and without learned speeds, requests that need a fast
	// engine are sent to any.
	It("is restored by gateways that start after all had terminated", func() {
		Expect(save(&saver{store: client}, learned())).To(Succeed())
		g := newGateway()
		Expect(g.LearnedState()).To(BeEmpty())
		restoreLearnedState(context.Background(), client, g)
		Expect(g.LearnedState()).To(HaveKey("llm"))
	})

	// Guards against bad placement after a restart.
	It("is restored by each process that starts", func() {
		Expect(save(&saver{store: client}, learned())).To(Succeed())
		p := &components{gateway: newGateway(), store: client, restored: newRestoration()}
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		go func() { _ = p.restoreLearned(ctx) }()
		Eventually(p.gateway.LearnedState).Should(HaveKey("llm"))
	})

	It("can be saved by several gateways in turn", func() {
		first, second := &saver{store: client}, &saver{store: client}
		Expect(save(first, learned())).To(Succeed())
		Expect(save(second, map[string]place.Snapshot{"llm": {}})).To(Succeed())
		Expect(save(first, learned())).To(MatchError(store.ErrConflict))
		Expect(save(first, learned())).To(Succeed())
	})

	It("is saved at once after the store has come back from a copy", func() {
		objects.NameEra(1)
		before := objects.Copy()
		s := &saver{store: client}
		Expect(save(s, learned())).To(Succeed())
		objects.Restore(before)
		_, _ = client.List(context.Background(), "config", store.Linearizable)
		Expect(save(s, learned())).To(Succeed())
	})

	It("is not restored from an invalid object", func() {
		objects.PutRaw(learnedKind, learnedName, []byte(`{"services":{"llm":{"steps":{"normal":[[1]],"right":[1],"count":500}}}}`))
		objects.PutRaw(learnedKind, "other", []byte(`[]`))
		g := newGateway()
		restoreLearnedState(context.Background(), client, g)
		Expect(g.LearnedState()).To(BeEmpty())
	})
})
