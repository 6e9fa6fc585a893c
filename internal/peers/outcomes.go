package peers

import (
	"time"

	"google.golang.org/protobuf/proto"

	"pistachioroad.dev/pistachioroad/internal/serverhealth"
	"pistachioroad.dev/pistachioroad/internal/wire"
)

const (
	// successFlushDelay is how long successes are collected into one datagram. Most are sent
	// along with the next placement.
	successFlushDelay = 100 * time.Millisecond
	// maxOutcomeDelay is the delay of a datagram above which its outcomes are dropped: they
	// would count as those of now.
	maxOutcomeDelay = time.Second
)

// AnnounceOutcomes implements gateway.Gossip.
func (p *Peers) AnnounceOutcomes(outcomes []serverhealth.Outcome, urgent bool) {
	within := successFlushDelay
	if urgent {
		within = flushDelay
	}
	for _, o := range outcomes {
		m := &wire.ServerOutcome{Server: o.Server, Succeeded: o.Succeeded, Failed: o.Failed, Summary: o.Summary}
		to := ownGroup
		if o.Summary {
			to = randomPeers
		}
		p.enqueue(to, within, proto.Size(m), func(s *wire.Share) { s.Outcomes = append(s.Outcomes, m) })
	}
}

// receiveOutcomes handles the outcomes of attempts of another gateway from a datagram with a
// delay.
func (p *Peers) receiveOutcomes(s *wire.Share, delay time.Duration) {
	if delay > maxOutcomeDelay {
		return
	}
	for _, m := range s.Outcomes {
		p.receiver.RemoteOutcome(serverhealth.Outcome{Server: m.Server, Succeeded: m.Succeeded, Failed: m.Failed, Summary: m.Summary})
	}
}
