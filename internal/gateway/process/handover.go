package process

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/apex/log"
	"github.com/samber/lo"

	"pistachioroad.dev/pistachioroad/internal/pause"
	"pistachioroad.dev/pistachioroad/internal/store"
)

const (
	configPath = bootstrapPath + "/config"
	// outOfDateCheckInterval is how often a gateway checks whether others have announced a
	// newer configuration, and outOfDateDelay how long it then waits for the store.
	outOfDateCheckInterval = 100 * time.Millisecond
	outOfDateDelay         = 300 * time.Millisecond
	// maxHandoverPeers is the number of other gateways that are asked in a row.
	maxHandoverPeers = 3
)

// serveConfig serves the configuration object that this gateway has read, without keys.
func (p *components) serveConfig(w http.ResponseWriter, _ *http.Request) {
	snapshot, ok := p.directory.Snapshot()
	if !ok {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, snapshot.Config)
}

// adoptNewerConfig fetches the configuration from other gateways whenever they have
// announced a newer one that this gateway cannot read from the store.
func (p *components) adoptNewerConfig(ctx context.Context) error {
	client := newBootstrapClient()
	var since time.Time
	for pause.Sleep(ctx, outOfDateCheckInterval) {
		now := time.Now()
		switch {
		case !p.directory.View().OutOfDate():
			since = time.Time{}
		case since.IsZero():
			since = now
		case now.Sub(since) >= outOfDateDelay:
			p.fetchConfig(ctx, client)
			since = time.Time{}
		}
	}
	return ctx.Err()
}

// fetchConfig asks other gateways for their configuration until one has the announced one.
func (p *components) fetchConfig(ctx context.Context, client *http.Client) {
	for _, address := range p.handoverPeers() {
		var o store.Object
		if err := fetchJSON(ctx, client, address, configPath, &o); err != nil {
			log.WithField("neighbour", address).WithField("error", err.Error()).Info("fetch of a newer configuration from another gateway failed")
			continue
		}
		p.directory.AdoptConfig(o)
		if !p.directory.View().OutOfDate() {
			return
		}
	}
}

// handoverPeers returns the addresses of some other gateways in random order. All gateways
// serve their state at the same port.
func (p *components) handoverPeers() []string {
	d := p.config.Deployment
	_, port, err := net.SplitHostPort(d.StateAddress)
	if err != nil {
		return nil
	}
	others := lo.OmitByKeys(p.peers.Addresses(), []string{d.Name})
	addresses := lo.MapToSlice(others, func(_ string, a netip.AddrPort) string { return net.JoinHostPort(a.Addr().String(), port) })
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(maxHandoverPeers, len(addresses))]
}
