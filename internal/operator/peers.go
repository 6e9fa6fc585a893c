package operator

import (
	"cmp"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"slices"
	"time"

	"github.com/danielgtaylor/huma/v2"
	"github.com/rotisserie/eris"
	"github.com/samber/lo"
	"golang.org/x/sync/errgroup"

	"pistachioroad.dev/pistachioroad/internal/explain"
	"pistachioroad.dev/pistachioroad/internal/serverconn"
)

// Limits of requests to other processes.
const (
	peerTimeout = 5 * time.Second
	// maxConcurrentPeers bounds the connections of one query to the whole fleet.
	maxConcurrentPeers = 32
	maxDumpBytes       = 4 << 20
	maxExplainBytes    = 1 << 20
	// maxMergedRecords bounds the records of a merged response; the oldest are
	// dropped.
	maxMergedRecords = 2000
)

// FleetRecord is a decision and the process that made it.
type FleetRecord struct {
	Process string `json:"process"`
	explain.Record
}

// SilentPeer is a process that did not answer.
type SilentPeer struct {
	Process string `json:"process"`
	Error   string `json:"error"`
}

// FleetExplanation lists the decisions of all processes about a subject.
type FleetExplanation struct {
	Subject string `json:"subject"`
	// Records are ordered by their timestamps, which come from the clocks of
	// different VMs and may be slightly out of order.
	Records []FleetRecord `json:"records"`
	// Asked is the number of processes queried, including this one.
	Asked  int          `json:"asked"`
	Silent []SilentPeer `json:"silent"`
}

// peerClient calls the operator APIs of other processes with the same token.
type peerClient struct {
	http  *http.Client
	token string
}

func newPeerClient(token string) *peerClient {
	transport := serverconn.NewTransport(&http.Transport{MaxIdleConns: maxConcurrentPeers, IdleConnTimeout: idleTimeout})
	return &peerClient{
		http: &http.Client{
			Transport: transport,
			Timeout:   peerTimeout,
			// Following a redirect would send the token to another address.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
		token: token,
	}
}

// get requests path from p and decodes the JSON body into answer. A body larger
// than limit bytes is an error.
func (c *peerClient) get(ctx context.Context, p Peer, path string, limit int64, answer any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.Address+path, nil)
	if err != nil {
		return eris.Wrap(err, p.Name)
	}
	request.Header.Set("Authorization", bearerPrefix+c.token)
	response, err := c.http.Do(request)
	if err != nil {
		return eris.Wrap(err, p.Name)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return eris.Errorf("%s answered %s", p.Name, response.Status)
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err != nil {
		return eris.Wrap(err, p.Name)
	}
	if int64(len(data)) > limit {
		return eris.Errorf("the answer of %s is larger than %d bytes", p.Name, limit)
	}
	return eris.Wrap(json.Unmarshal(data, answer), p.Name)
}

type dumpInput struct {
	Process string `path:"process" doc:"Name of a process, which is that of its VM"`
}

func (s *Server) dumpPeer(ctx context.Context, in *dumpInput) (*dumpOutput, error) {
	if in.Process == s.sources.Process {
		return s.dump(ctx, nil)
	}
	peers, err := s.sources.Fleet.Peers(ctx)
	if err != nil {
		return nil, huma.Error503ServiceUnavailable("the VM list is not available", err)
	}
	peer, known := lo.Find(peers, func(p Peer) bool { return p.Name == in.Process })
	if !known {
		return nil, huma.Error404NotFound("no process " + in.Process)
	}
	var dump Dump
	if err := s.peers.get(ctx, peer, "/dump", maxDumpBytes, &dump); err != nil {
		return nil, huma.Error502BadGateway("the process did not answer", err)
	}
	return &dumpOutput{Body: dump}, nil
}

type explainFleetInput struct {
	Subject string `query:"subject" required:"true" minLength:"1" maxLength:"256"`
}

type explainFleetOutput struct{ Body FleetExplanation }

func (s *Server) explainFleet(ctx context.Context, in *explainFleetInput) (*explainFleetOutput, error) {
	peers, err := s.sources.Fleet.Peers(ctx)
	if err != nil {
		return nil, huma.Error503ServiceUnavailable("the VM list is not available", err)
	}
	peers = lo.Filter(peers, func(p Peer, _ int) bool { return p.Name != s.sources.Process })
	answers := s.explainPeers(ctx, peers, in.Subject)
	merged := mergeExplanations(in.Subject, append(answers, peerResponse{explanation: s.explanation(in.Subject)}))
	return &explainFleetOutput{Body: merged}, nil
}

type peerResponse struct {
	peer        Peer
	explanation Explanation
	err         error
}

// explainPeers queries all peers concurrently and returns one response for each.
// peerTimeout applies to all queries together.
func (s *Server) explainPeers(ctx context.Context, peers []Peer, subject string) []peerResponse {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	path := "/explain?subject=" + url.QueryEscape(subject)
	answers := make([]peerResponse, len(peers))
	var group errgroup.Group
	group.SetLimit(maxConcurrentPeers)
	for i, peer := range peers {
		group.Go(func() error {
			answers[i].peer = peer
			answers[i].err = s.peers.get(ctx, peer, path, maxExplainBytes, &answers[i].explanation)
			return nil
		})
	}
	_ = group.Wait()
	return answers
}

func mergeExplanations(subject string, answers []peerResponse) FleetExplanation {
	merged := FleetExplanation{
		Subject: subject,
		Records: []FleetRecord{},
		Asked:   len(answers),
		Silent:  []SilentPeer{},
	}
	for _, a := range answers {
		if a.err != nil {
			merged.Silent = append(merged.Silent, SilentPeer{Process: a.peer.Name, Error: a.err.Error()})
			continue
		}
		for _, r := range a.explanation.Records {
			merged.Records = append(merged.Records, FleetRecord{Process: a.explanation.Process, Record: r})
		}
	}
	slices.SortStableFunc(merged.Records, func(a, b FleetRecord) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Process, b.Process))
	})
	merged.Records = merged.Records[max(0, len(merged.Records)-maxMergedRecords):]
	return merged
}
