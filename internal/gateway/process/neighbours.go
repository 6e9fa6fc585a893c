package process

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/apex/log"
	"github.com/rotisserie/eris"

	"pistachioroad.dev/pistachioroad/internal/directory"
	"pistachioroad.dev/pistachioroad/internal/pause"
)

const (
	knowledgePath = "/knowledge"
	// askAfter is how long a new process waits for the store before it asks its
	// neighbours, askEvery how often it asks while neither answers.
	askAfter = 400 * time.Millisecond
	askEvery = 300 * time.Millisecond
	// askTimeout bounds one question.
	askTimeout = 400 * time.Millisecond
	// maxKnowledge bounds an answer: the store's largest value and the entries
	// of a thousand servers.
	maxKnowledge = 4 << 20
)

// knowledge is what a gateway tells one that cannot reach the store.
type knowledge struct {
	Snapshot directory.Snapshot `json:"snapshot"`
	// Gateways are the addresses for datagrams, by VM.
	Gateways map[string]netip.AddrPort `json:"gateways"`
}

// serveKnowledge tells other gateways what this one knows.
func (p *parts) serveKnowledge(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+knowledgePath, func(w http.ResponseWriter, _ *http.Request) {
		snapshot, ok := p.directory.Snapshot()
		if !ok {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(knowledge{Snapshot: snapshot, Gateways: p.peers.Addresses()}); err != nil {
			log.WithField("error", err.Error()).Info("knowledge not told")
		}
	})
	return serveHTTP(ctx, p.config.Deployment.Neighbours, mux)
}

// askNeighbours asks the seeds until the configuration is known, from them or
// from the store.
func (p *parts) askNeighbours(ctx context.Context) error {
	client := &http.Client{Timeout: askTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	wait := askAfter
	for {
		if !pause.For(ctx, wait) {
			return ctx.Err()
		}
		if p.directory.View().Table != nil {
			<-ctx.Done()
			return ctx.Err()
		}
		wait = askEvery
		for _, seed := range p.config.Deployment.Seeds {
			if seed == p.config.Deployment.Neighbours {
				continue
			}
			k, err := askNeighbour(ctx, client, seed)
			if err != nil {
				log.WithField("neighbour", seed).WithField("error", err.Error()).Debug("neighbour did not answer")
				continue
			}
			p.directory.Adopt(time.Now(), k.Snapshot)
			p.peers.SetPeers(k.Gateways)
			break
		}
	}
}

func askNeighbour(ctx context.Context, client *http.Client, address string) (knowledge, error) {
	var k knowledge
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+knowledgePath, nil)
	if err != nil {
		return k, eris.Wrap(err, "ask")
	}
	resp, err := client.Do(req)
	if err != nil {
		return k, eris.Wrap(err, "ask")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return k, eris.Errorf("status %d", resp.StatusCode)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxKnowledge))
	if err != nil {
		return k, eris.Wrap(err, "read")
	}
	return k, eris.Wrap(json.Unmarshal(data, &k), "decode")
}
