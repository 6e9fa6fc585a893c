package operator_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rotisserie/eris"

	"pistachioroad.dev/pistachioroad/internal/explain"
	"pistachioroad.dev/pistachioroad/internal/fleetconfig"
	"pistachioroad.dev/pistachioroad/internal/operator"
	"pistachioroad.dev/pistachioroad/internal/sharedstate"
)

// fakeStore stores one object and injects faults.
type fakeStore struct {
	mu     sync.Mutex
	object sharedstate.Object
	// down makes every call fail. losesReplies applies the next write, reports
	// its outcome as unknown and sets down.
	down, losesReplies bool
}

func (s *fakeStore) Get(context.Context, string) (sharedstate.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return sharedstate.Object{}, eris.Wrap(sharedstate.ErrUnavailable, "connection refused")
	}
	return s.object, nil
}

func (s *fakeStore) Put(_ context.Context, name string, version uint64, value []byte) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return 0, sharedstate.ErrNotSent
	}
	if version != s.object.Version {
		return 0, sharedstate.ErrConflict
	}
	s.object = sharedstate.Object{Name: name, Version: version + 1, Value: value}
	if s.losesReplies {
		s.down = true
		return 0, sharedstate.ErrUnknown
	}
	return s.object.Version, nil
}

func (s *fakeStore) Watch(ctx context.Context, _ string, _ uint64) (sharedstate.Object, error) {
	<-ctx.Done()
	return sharedstate.Object{}, sharedstate.ErrUnavailable
}

func (s *fakeStore) set(down, losesReplies bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down, s.losesReplies = down, losesReplies
}

// fakeFleet is the view of the entry under test.
type fakeFleet struct {
	mu     sync.Mutex
	config sharedstate.Object
	peers  []operator.Peer
}

func (f *fakeFleet) Status(context.Context) (operator.Status, error) {
	return operator.Status{Entry: "e1", Store: operator.StoreStatus{Healthy: true}}, nil
}

func (f *fakeFleet) Peers(context.Context) ([]operator.Peer, error) { return f.peers, nil }

func (f *fakeFleet) Config() sharedstate.Object {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.config
}

func (f *fakeFleet) Accept(o sharedstate.Object) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.config = o
}

func post(url string, body any) (int, operator.EditResult) {
	GinkgoHelper()
	data, err := json.Marshal(body)
	Expect(err).NotTo(HaveOccurred())
	request, err := http.NewRequest(http.MethodPost, url+"/fleet/edits", bytes.NewReader(data))
	Expect(err).NotTo(HaveOccurred())
	request.Header.Set("Authorization", "Bearer "+testToken)
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	var result operator.EditResult
	Expect(json.NewDecoder(response.Body).Decode(&result)).To(Succeed())
	return response.StatusCode, result
}

func getJSON(url string, answer any) int {
	GinkgoHelper()
	status, body := get(url, testToken)
	Expect(json.Unmarshal([]byte(body), answer)).To(Succeed(), body)
	return status
}

func roleChangeCostEdit(editID, author string, base uint64, cost float64) operator.EditRequest {
	return operator.EditRequest{
		EditID: editID, Author: author, BaseVersion: base,
		Changes: []fleetconfig.Change{{SetDefaults: &fleetconfig.Values{RoleChangeCost: &cost}}},
	}
}

var _ = Describe("Edits of the fleet configuration", func() {
	var (
		store *fakeStore
		fleet *fakeFleet
		url   string
	)

	BeforeEach(func() {
		store = &fakeStore{}
		fleet = &fakeFleet{peers: []operator.Peer{{Name: "gangnam-m1", DataCentre: "gangnam", Service: "models"}}}
		server, err := operator.NewServer(
			operator.Config{TokenFile: tokenFile(), EditTimeout: 200 * time.Millisecond},
			operator.Sources{Process: "e1", Fleet: fleet, Store: store})
		Expect(err).NotTo(HaveOccurred())
		web := httptest.NewServer(server.Handler())
		DeferCleanup(web.Close)
		url = web.URL
	})

	It("take effect immediately and are recorded in the history", func() {
		status, result := post(url, roleChangeCostEdit("edit-0001", "kim", 0, 5))
		Expect(status).To(Equal(http.StatusOK))
		Expect(result.Outcome).To(Equal(operator.EditApplied))
		Expect(fleet.Config().Version).To(BeEquivalentTo(1))
		var view operator.ConfigView
		Expect(getJSON(url+"/fleet/config", &view)).To(Equal(http.StatusOK))
		Expect(view.Source).To(Equal(operator.SourceStore))
		Expect(view.Config.Defaults.String()).To(Equal("role_change_cost=5"))
		Expect(view.Config.History).To(HaveLen(1))
		Expect(view.Config.History[0].Author).To(Equal("kim"))
	})

	// Guards against a lost update: two operators edit the same default of
	// version 1. Without the check of the version, the second edit would
	// overwrite the first and neither operator would notice.
	It("apply one of two concurrent edits and report both values for the other", func() {
		post(url, roleChangeCostEdit("edit-0001", "kim", 0, 5))
		requests := []operator.EditRequest{roleChangeCostEdit("edit-0002", "lee", 1, 9), roleChangeCostEdit("edit-0003", "kim", 1, 30)}
		results := make([]operator.EditResult, len(requests))
		var wg sync.WaitGroup
		for i, r := range requests {
			wg.Go(func() {
				defer GinkgoRecover()
				_, results[i] = post(url, r)
			})
		}
		wg.Wait()
		winner, loser := 0, 1
		if results[0].Outcome != operator.EditApplied {
			winner, loser = 1, 0
		}
		Expect(results[winner].Outcome).To(Equal(operator.EditApplied))
		Expect(results[loser].Outcome).To(Equal(operator.EditConflict))
		Expect(results[loser].Version).To(BeEquivalentTo(2))
		Expect(results[loser].Differences).To(Equal([]fleetconfig.Difference{{
			Key:     "role_change_cost",
			Yours:   requests[loser].Changes[0].SetDefaults.Text("role_change_cost"),
			Current: requests[winner].Changes[0].SetDefaults.Text("role_change_cost"),
		}}))
		Expect(results[loser].Since).To(HaveLen(1))
		Expect(results[loser].Since[0].Author).To(Equal(requests[winner].Author))
	})

	// Guards against reporting an edit as failed when the store applied it but
	// the reply and all later calls were lost: the operator would repeat it and
	// overwrite another operator's edit.
	It("report an unknown outcome, and recognise the edit when it is repeated", func() {
		store.set(false, true)
		status, result := post(url, roleChangeCostEdit("edit-0001", "kim", 0, 5))
		Expect(status).To(Equal(http.StatusGatewayTimeout))
		Expect(result.Outcome).To(Equal(operator.EditUnknown))
		Expect(result.Message).To(ContainSubstring("edit-0001"))
		store.set(false, false)
		_, result = post(url, roleChangeCostEdit("edit-0001", "kim", 0, 5))
		Expect(result.Outcome).To(Equal(operator.EditApplied))
		Expect(result.Version).To(BeEquivalentTo(1))
	})

	// Guards against operators who cannot read the configuration, or do not know the
	// outcome of an edit, during an hour-long outage of the store: the last configuration
	// stays active and readable, and an edit fails immediately, with nothing changed.
	It("fail while the store is down and report that nothing was changed", func() {
		post(url, roleChangeCostEdit("edit-0001", "kim", 0, 5))
		store.set(true, false)
		status, result := post(url, roleChangeCostEdit("edit-0002", "kim", 1, 9))
		Expect(status).To(Equal(http.StatusServiceUnavailable))
		Expect(result.Outcome).To(Equal(operator.EditStoreUnavailable))
		Expect(result.Message).To(ContainSubstring("nothing was changed"))
		var view operator.ConfigView
		getJSON(url+"/fleet/config", &view)
		Expect(view.Source).To(Equal(operator.SourceActive))
		Expect(view.Version).To(BeEquivalentTo(1))
	})

	It("are rejected with a reason when they are invalid", func() {
		status, result := post(url, roleChangeCostEdit("edit-0001", "kim", 0, -1))
		Expect(status).To(Equal(http.StatusUnprocessableEntity))
		Expect(result.Outcome).To(Equal(operator.EditRejected))
		Expect(result.Message).To(ContainSubstring("role_change_cost is -1, expected 0 to 3600"))
		status, _ = post(url, map[string]any{"edit_id": "edit-0001", "author": "kim", "unknown": 1})
		Expect(status).To(Equal(http.StatusUnprocessableEntity))
	})

	It("warn about a backend server that is not in the VM list", func() {
		drain := func(id string, base uint64, name string) operator.EditRequest {
			return operator.EditRequest{EditID: id, Author: "kim", BaseVersion: base, Changes: []fleetconfig.Change{
				{Drain: &fleetconfig.Drain{BackendServer: name, Reason: "new disk"}},
			}}
		}
		_, result := post(url, drain("edit-0001", 0, "gangnam-m1"))
		Expect(result.Warnings).To(BeEmpty())
		_, result = post(url, drain("edit-0002", 1, "gangnam-m7"))
		Expect(result.Outcome).To(Equal(operator.EditApplied))
		Expect(result.Warnings).To(ConsistOf("the VM list has no backend server gangnam-m7"))
	})
})

var _ = Describe("Queries to other processes", func() {
	// Guards against failing a query of the whole fleet when some processes do
	// not answer: one responds with an error, another refuses connections. The
	// response must contain the other records and name the missing processes.
	It("merge the responses and list the processes that did not answer", func() {
		log := explain.New(8)
		log.Add(time.Unix(2, 0), "r1", "started", "a slot was free")
		sidecar := serve(operator.Sources{Process: "m1", Explain: log, Duties: map[string]operator.DumpFunc{
			"queue": func(context.Context) any { return []int{1} },
		}})
		broken := httptest.NewServer(http.NotFoundHandler())
		DeferCleanup(broken.Close)
		own := explain.New(8)
		own.Add(time.Unix(1, 0), "r1", "sent to m1", "least expected wait")
		fleet := &fakeFleet{peers: []operator.Peer{
			{Name: "m1", Address: strings.TrimPrefix(sidecar, "http://")},
			{Name: "m2", Address: strings.TrimPrefix(broken.URL, "http://")},
			{Name: "m3", Address: "127.0.0.1:1"},
		}}
		url := serve(operator.Sources{Process: "e1", Explain: own, Fleet: fleet, Store: &fakeStore{}})

		var found operator.FleetExplanation
		getJSON(url+"/fleet/explain?subject=r1", &found)
		Expect(found.Asked).To(Equal(4))
		Expect(found.Records).To(HaveLen(2))
		Expect(found.Records[0].Process).To(Equal("e1"))
		Expect(found.Records[1].Decision).To(Equal("started"))
		Expect(found.Silent).To(HaveLen(2))
		Expect(found.Silent[0].Process).To(Equal("m2"))

		var dump operator.Dump
		Expect(getJSON(url+"/fleet/dump/m1", &dump)).To(Equal(http.StatusOK))
		Expect(dump.Duties["queue"].State).To(MatchJSON(`[1]`))
		for path, want := range map[string]int{"m2": http.StatusBadGateway, "m9": http.StatusNotFound} {
			status, _ := get(url+"/fleet/dump/"+path, testToken)
			Expect(status).To(Equal(want))
		}
	})
})

var _ = Describe("A sidecar", func() {
	It("does not serve the operations of an entry", func() {
		url := serve(operator.Sources{Ready: func() error { return errors.New("starting") }})
		status, _ := get(url+"/fleet/config", testToken)
		Expect(status).To(Equal(http.StatusNotFound))
	})
})
