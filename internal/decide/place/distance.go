package place

import (
	"time"

	"pistachioroad.dev/pistachioroad/internal/decide/locality"
)

// distance is what it costs a request to use engines of other data centres, as a time.
type distance struct {
	// home is the data centre of the request, and only the one whose engines may be used,
	// empty for all.
	home, only string
	// cost is that of sending the request to another data centre, and kvWeight what a KV
	// transfer between data centres costs for each unit of its time.
	cost     time.Duration
	kvWeight float64
}

// fullDistance returns the undiscounted distance of a job.
func (f *Fleet) fullDistance(j Job) distance {
	return distance{home: j.DataCentre, cost: f.distancePrice.Cost(j.Bytes), kvWeight: kvDistanceWeight}
}

// kvDistanceWeight is the cost of a KV transfer between data centres for each unit of its
// time, beyond the delay: it occupies the links between them.
const kvDistanceWeight = 1

// distanceOf returns the distance of a job whose cheapest plan in its own data centre is
// known: the later the first token of that plan, the less.
func (f *Fleet) distanceOf(j Job, c Constraints, home Plan) distance {
	d := f.fullDistance(j)
	discount := locality.Discount(home.ExpectedTTFT(), c.Objective)
	d.cost, d.kvWeight = scale(discount, d.cost), discount*d.kvWeight
	return d
}

func (d distance) allows(e *engine) bool { return d.only == "" || e.DataCentre == d.only }

// ofSend returns the cost of sending the request to an engine, and how many transfers
// between data centres that takes.
func (d distance) ofSend(e *engine) (time.Duration, int) {
	if e.DataCentre == d.home {
		return 0, 0
	}
	return d.cost, 1
}

// ofHandover returns the cost of having another engine generate the answer.
func (d distance) ofHandover(from, to *engine, transfer time.Duration) (time.Duration, int) {
	cost, crossings := d.ofSend(to)
	if from.DataCentre != to.DataCentre {
		cost += scale(d.kvWeight, transfer)
		crossings++
	}
	return cost, crossings
}
