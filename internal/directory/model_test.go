package directory

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/apex/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pistachioroad.dev/pistachioroad/internal/store"
)

// modelStep is the time between two steps of the model.
const modelStep = 400 * time.Millisecond

// model has a store, a gateway that watches it and one that follows the first one's
// confirmations. Responses and confirmations are delivered by later steps, in any order.
type model struct {
	now time.Duration
	// written is when each revision was stored.
	written []time.Duration

	watcher, follower *Directory
	responses         []listResponse
	confirmations     []sentConfirmation
}

// listResponse is the store's response to a list that gateway to sent at sent.
type listResponse struct {
	to      *Directory
	sent    time.Duration
	listing store.Listing
}

// sentConfirmation is a confirmation in flight, sent at sent.
type sentConfirmation struct {
	sent         time.Duration
	confirmation Confirmation
}

func newModel() *model {
	kinds := Kinds{Config: "config", ConfigName: "main", Servers: "servers"}
	m := &model{
		watcher:  New(nil, plainDecoder{}, kinds),
		follower: New(nil, plainDecoder{}, kinds),
	}
	m.write()
	return m
}

func (m *model) revision() int64 { return int64(len(m.written)) }

func (m *model) write() { m.written = append(m.written, m.now) }

// startList makes d list the store; the response is in flight.
func (m *model) startList(d *Directory) {
	o := store.Object{Name: "main", Revision: m.revision(), Spec: json.RawMessage(strconv.FormatInt(m.revision(), 10))}
	m.responses = append(m.responses, listResponse{to: d, sent: m.now, listing: listing(m.revision(), o)})
}

// deliverResponse delivers the first or the last response in flight.
func (m *model) deliverResponse(last bool) bool {
	if len(m.responses) == 0 {
		return false
	}
	var r listResponse
	m.responses, r = take(m.responses, last)
	r.to.locked(func() {
		r.to.applyConfigList(r.listing)
		r.to.state.confirmConfig(at(r.sent))
		r.to.state.confirmServers(moment{clock: at(r.sent)})
		r.to.publish(false)
	})
	return true
}

// sendConfirmation makes the watcher send a confirmation, if it has a recent one.
func (m *model) sendConfirmation() bool {
	c, ok := m.watcher.Confirmation(at(m.now))
	if ok {
		m.confirmations = append(m.confirmations, sentConfirmation{sent: m.now, confirmation: c})
	}
	return ok
}

// deliverConfirmation delivers the first or the last confirmation in flight. The
// receiver knows its delay.
func (m *model) deliverConfirmation(last bool) bool {
	if len(m.confirmations) == 0 {
		return false
	}
	var c sentConfirmation
	m.confirmations, c = take(m.confirmations, last)
	c.confirmation.Age += m.now - c.sent
	m.follower.RemoteConfirmation(at(m.now), c.confirmation)
	return true
}

func take[T any](list []T, last bool) ([]T, T) {
	n := 0
	if last {
		n = len(list) - 1
	}
	taken := list[n]
	return append(append([]T(nil), list[:n]...), list[n+1:]...), taken
}

// moves are the possible steps. Each returns false if it is not possible now.
var moves = []func(*model) bool{
	func(m *model) bool { m.write(); return true },
	func(m *model) bool { m.startList(m.watcher); return true },
	func(m *model) bool { m.startList(m.follower); return true },
	func(m *model) bool { return m.deliverResponse(false) },
	func(m *model) bool { return len(m.responses) > 1 && m.deliverResponse(true) },
	func(m *model) bool { return m.sendConfirmation() },
	func(m *model) bool { return m.deliverConfirmation(false) },
	func(m *model) bool { return len(m.confirmations) > 1 && m.deliverConfirmation(true) },
}

// checkView checks the guarantees of a gateway: it never reverts to an older
// configuration, and never counts one as confirmed at a time when the store already
// had a newer one.
func (m *model) checkView(d *Directory, before int64) {
	v := d.View()
	Expect(v.TableRevision).To(BeNumerically(">=", before), "went back")
	if v.TableConfirmedAt.IsZero() || v.TableRevision >= m.revision() {
		return
	}
	newer := at(m.written[v.TableRevision])
	Expect(v.TableConfirmedAt.After(newer)).To(BeFalse(),
		"revision %d counts as the newest at %v, but a newer one was written at %v", v.TableRevision, v.TableConfirmedAt.Sub(start), newer.Sub(start))
}

// runSequence makes the moves in order and reports whether all were possible.
func runSequence(sequence []int) bool {
	m := newModel()
	for _, n := range sequence {
		m.now += modelStep
		watcher, follower := m.watcher.View().TableRevision, m.follower.View().TableRevision
		if !moves[n](m) {
			return false
		}
		m.checkView(m.watcher, watcher)
		m.checkView(m.follower, follower)
	}
	return true
}

// modelDepth is the length of the sequences that are tried exhaustively: enough for two
// changes to overtake a confirmation and a response.
const modelDepth = 8

var _ = Describe("the active configuration, in all orders of events", func() {
	// Guards against a gateway that denies existing routes, or sends requests to services
	// that they must not reach any more: it takes an older configuration for the newest
	// when the operator changes it while responses of the store and confirmations of
	// another gateway are in flight.
	It("never goes back and is never confirmed for later than the store said", func() {
		log.SetLevel(log.ErrorLevel)
		DeferCleanup(log.SetLevel, log.InfoLevel)
		tried := 0
		var extend func(sequence []int)
		extend = func(sequence []int) {
			if !runSequence(sequence) {
				return
			}
			tried++
			if len(sequence) == modelDepth {
				return
			}
			for n := range moves {
				extend(append(append([]int(nil), sequence...), n))
			}
		}
		extend(nil)
		Expect(tried).To(BeNumerically(">", 100_000))
	})
})
