package process

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pistachioroad.dev/pistachioroad/internal/backend"
	"pistachioroad.dev/pistachioroad/internal/directory"
	"pistachioroad.dev/pistachioroad/internal/gateway"
	"pistachioroad.dev/pistachioroad/platform"
	"pistachioroad.dev/pistachioroad/test/standin/objectstore"
	"pistachioroad.dev/pistachioroad/test/standin/runner"
)

func TestProcess(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "process")
}

var _ = Describe("the cache contents of engines", func() {
	// Guards against prompts that are read again after a restart. Where gateways have learned
	// nothing yet, engines have cached nothing either.
	DescribeTable("are queried by a process that starts, unless nothing has been learned", func(learned bool, want int) {
		objects := objectstore.New()
		storeServer := httptest.NewServer(objects)
		DeferCleanup(storeServer.CloseClientConnections)
		client := platform.NewStore(strings.TrimPrefix(storeServer.URL, "http://"))
		if learned {
			objects.PutRaw(learnedKind, learnedName, []byte(`{}`))
		}
		var queries atomic.Int32
		engine := runner.New("e", "decode")
		engineServer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/-/kv-list" {
				queries.Add(1)
			}
			engine.ServeHTTP(w, r)
		}))
		DeferCleanup(engineServer.CloseClientConnections)
		objects.PutRaw("config", "main", []byte(`{"version":1}`))
		objects.Put("servers", "e", engine.Registration("llm", strings.TrimPrefix(engineServer.URL, "http://"), "z", "ready"))

		dir := directory.New(client, platform.Codec{}, platform.ObjectKinds)
		g := gateway.New(gateway.Config{Codec: platform.Codec{}, Directory: dir})
		p := &components{gateway: g, directory: dir, store: client, restored: newRestoration()}
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		for _, run := range []func(context.Context) error{dir.FollowConfig, dir.FollowServers, p.restoreLearned, p.loadCacheContents} {
			go func() { _ = run(ctx) }()
		}
		Eventually(func() int { return len(dir.View().Servers) }).Should(Equal(1))
		if want > 0 {
			Eventually(queries.Load).Should(BeEquivalentTo(want))
			return
		}
		Consistently(queries.Load).Should(BeZero())
	},
		Entry("after a restart", true, 1),
		Entry("at the first start", false, 0),
	)
})

var _ = Describe("engines queried after a start", func() {
	// Guards against delaying callers: three hundred gateways start at the same time with
	// a thousand engines, and each queries every engine.
	It("are limited in number and not draining", func() {
		servers := map[string]backend.Server{"plain": {ID: "plain"}}
		for i := range 1_000 {
			id := strconv.Itoa(i)
			servers[id] = backend.Server{ID: id, Role: backend.Decode, Draining: i%2 == 0}
		}
		chosen := randomEngines(servers, maxCacheQueries)
		Expect(chosen).To(HaveLen(maxCacheQueries))
		for _, s := range chosen {
			Expect(s.Draining || s.Role == backend.NoRole).To(BeFalse())
		}
		Expect(randomEngines(map[string]backend.Server{}, maxCacheQueries)).To(BeEmpty())
	})
})
