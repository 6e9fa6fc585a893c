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
	"pistachioroad.dev/pistachioroad/internal/serverconn"
	"pistachioroad.dev/pistachioroad/internal/sideserver"
)

const (
	bootstrapPath = "/knowledge"
	// bootstrapDelay is how long a new process waits for the store before it asks its
	// peers, and bootstrapInterval how often it asks while neither they nor the store
	// respond.
	bootstrapDelay    = 400 * time.Millisecond
	bootstrapInterval = 300 * time.Millisecond
	// bootstrapTimeout limits one request to a peer.
	bootstrapTimeout = 400 * time.Millisecond
	// maxBootstrapBytes limits a response. It has room for the store's largest value
	// and the objects of a thousand servers.
	maxBootstrapBytes = 4 << 20
)

// bootstrapState is what a gateway sends to a new one that cannot reach the store.
type bootstrapState struct {
	Snapshot directory.Snapshot `json:"snapshot"`
	// Gateways are the gateways' addresses for datagrams, by VM. They are absent if this
	// gateway does not know the others.
	Gateways map[string]netip.AddrPort `json:"gateways,omitempty"`
	// GatewaysComplete says that they may be taken for all gateways. A gateway that has just
	// started may know some only.
	GatewaysComplete bool `json:"gateways_complete,omitempty"`
}

// serveBootstrap serves this gateway's state to new gateways.
func (p *components) serveBootstrap(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+bootstrapPath, p.serveState)
	mux.HandleFunc("GET "+configPath, p.serveConfig)
	return sideserver.Serve(ctx, "state", p.config.Deployment.StateAddress, mux)
}

func (p *components) serveState(w http.ResponseWriter, _ *http.Request) {
	snapshot, ok := p.directory.Snapshot()
	if !ok {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	state := bootstrapState{Snapshot: snapshot}
	if p.peers.GatewaysKnown() {
		state.Gateways, state.GatewaysComplete = p.peers.Addresses(), p.peers.ListComplete()
	}
	writeJSON(w, state)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(value); err != nil {
		log.WithField("error", err.Error()).Info("write state for another gateway failed")
	}
}

func newBootstrapClient() *http.Client {
	return &http.Client{Timeout: bootstrapTimeout, Transport: serverconn.NewTransport(&http.Transport{DisableKeepAlives: true})}
}

// bootstrapFromPeers asks the seed gateways until the configuration is known, from
// them or from the store.
func (p *components) bootstrapFromPeers(ctx context.Context) error {
	client := newBootstrapClient()
	wait := bootstrapDelay
	for {
		if !pause.Sleep(ctx, wait) {
			return ctx.Err()
		}
		if p.directory.View().Table != nil {
			<-ctx.Done()
			return ctx.Err()
		}
		wait = bootstrapInterval
		for _, seed := range p.config.Deployment.SeedAddresses {
			if seed == p.config.Deployment.StateAddress {
				continue
			}
			var state bootstrapState
			if err := fetchJSON(ctx, client, seed, bootstrapPath, &state); err != nil {
				log.WithField("neighbour", seed).WithField("error", err.Error()).Debug("bootstrap from peer failed")
				continue
			}
			p.adopt(state)
			break
		}
	}
}

// adopt adopts the state of another gateway.
func (p *components) adopt(state bootstrapState) {
	p.directory.Adopt(time.Now(), state.Snapshot)
	if len(state.Gateways) > 0 {
		p.peers.SetPeers(state.Gateways, state.GatewaysComplete)
	}
}

// fetchJSON requests the state of the gateway at address and decodes it into result.
func fetchJSON(ctx context.Context, client *http.Client, address, path string, result any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return eris.Wrap(err, "create request")
	}
	resp, err := client.Do(req)
	if err != nil {
		return eris.Wrap(err, "send request")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return eris.Errorf("status %d", resp.StatusCode)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxBootstrapBytes))
	if err != nil {
		return eris.Wrap(err, "read response")
	}
	return eris.Wrap(json.Unmarshal(data, result), "decode response")
}
