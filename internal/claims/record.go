package claims

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// ObjectName returns the name of the store's object of a slot.
func ObjectName(service string, slot int) string {
	return "claims/" + service + "/" + strconv.Itoa(slot)
}

// Record is the object of a slot.
type Record struct {
	// WriteID is random per write; a writer whose reply was lost looks for it.
	WriteID string `json:"write_id"`
	// Epoch rises by one with each new owner.
	Epoch uint64 `json:"epoch"`
	// Owner is a backend server, Incarnation one start of its sidecar.
	Owner       string `json:"owner"`
	Incarnation string `json:"incarnation"`
	// Released says that the owner has finished all that it claimed.
	Released bool `json:"released,omitempty"`
	// PlanVersion is the version of the plan that the owner acted on.
	PlanVersion uint64 `json:"plan_version"`
	// Clock is the time in milliseconds for which the slot has had an owner.
	// Retention is measured by it, since the wall clocks of two VMs may differ
	// by more than the retention: results would be dropped too early, and
	// their calls run again.
	Clock int64 `json:"clock_ms"`
	// Claims is keyed by the idempotency key.
	Claims map[string]Claim `json:"claims,omitempty"`
}

// Claim is one idempotency key.
type Claim struct {
	BodyDigest uint64 `json:"body"`
	// Epoch is that of the owner that claimed it. A claim of an earlier epoch
	// without a Result may have run.
	Epoch uint64 `json:"epoch"`
	// RequestID is that of the request that claimed it; empty once there is a
	// Result.
	RequestID string `json:"request,omitempty"`
	// Done is Record.Clock when the result was recorded.
	Done   int64   `json:"done_ms,omitempty"`
	Result *Result `json:"result,omitempty"`

	// encoded is the claim as it is written, or nil. Each commit writes all
	// claims and changes few.
	encoded []byte
}

// ParseRecord reads a Record. A record that is not well formed is an error,
// never an empty one: whoever took it for empty would run every key again.
func ParseRecord(data []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return Record{}, eris.Wrap(err, "claim record")
	}
	if r.Epoch == 0 || r.Owner == "" || r.WriteID == "" {
		return Record{}, eris.New("claim record without epoch, owner or write id")
	}
	for key, c := range r.Claims {
		if c.Epoch == 0 || c.Epoch > r.Epoch {
			return Record{}, eris.Errorf("claim %q of epoch %d in epoch %d", key, c.Epoch, r.Epoch)
		}
		r.set(key, c)
	}
	return r, nil
}

// Encode returns the Record as ParseRecord reads it, with its claims in any
// order.
func (r Record) Encode() ([]byte, error) {
	head := r
	head.Claims = nil
	data, err := json.Marshal(head)
	if err != nil {
		return nil, eris.Wrap(err, "claim record")
	}
	if len(r.Claims) == 0 {
		return data, nil
	}
	out := make([]byte, 0, r.bytes())
	out = append(out, bytes.TrimSuffix(data, []byte("}"))...)
	out = append(out, `,"claims":`...)
	separator := byte('{')
	for key, c := range r.Claims {
		if c.encoded == nil {
			c.encoded = encodeClaim(key, c)
		}
		out = append(out, separator)
		out = append(out, c.encoded...)
		separator = ','
	}
	return append(out, "}}"...), nil
}

// encodeClaim returns a claim with its key as they stand in a record. Neither
// holds anything that JSON cannot.
func encodeClaim(key string, c Claim) []byte {
	name, _ := json.Marshal(key)
	value, _ := json.Marshal(c)
	return slices.Concat(name, []byte(":"), value)
}

// set puts a claim that is new or has changed into the record.
func (r Record) set(key string, c Claim) {
	c.encoded = encodeClaim(key, c)
	r.Claims[key] = c
}

// clone returns a Record whose claims can be changed apart from those of r.
func (r Record) clone() Record {
	c := r
	c.Claims = maps.Clone(r.Claims)
	if c.Claims == nil {
		c.Claims = map[string]Claim{}
	}
	return c
}

// expire removes results kept for longer than retention. Claims without a
// result stay: nobody will ever know whether they ran.
func (r Record) expire(retention time.Duration) {
	maps.DeleteFunc(r.Claims, func(_ string, c Claim) bool {
		return c.Result != nil && r.Clock-c.Done >= retention.Milliseconds()
	})
}

// Upper bounds of the encoded sizes in bytes, without strings of varying
// length.
const (
	recordOverhead = 512
	claimOverhead  = 128
	resultOverhead = 192
	headerOverhead = 16
	punctuation    = 1
)

// bytes returns an upper bound of the encoded size.
func (r Record) bytes() int {
	total := recordOverhead + jsonBytes(r.Owner) + jsonBytes(r.Incarnation)
	for key, c := range r.Claims {
		total += claimBytes(key, c)
	}
	return total
}

func claimBytes(key string, c Claim) int {
	if c.encoded != nil {
		return len(c.encoded) + punctuation
	}
	total := claimOverhead + jsonBytes(key) + jsonBytes(c.RequestID)
	if c.Result != nil {
		total += resultBytes(c.Result)
	}
	return total
}

func resultBytes(r *Result) int {
	const base64Group = 4
	total := resultOverhead + (len(r.Body)+2)/3*base64Group
	for _, h := range r.Headers {
		total += headerOverhead + jsonBytes(h.Name) + jsonBytes(h.Value)
	}
	return total
}

// jsonBytes returns an upper bound of the size of s as a JSON string.
func jsonBytes(s string) int {
	const (
		quotes  = 2
		escaped = 6
	)
	total := quotes
	for _, b := range []byte(s) {
		if b < ' ' || b > '~' || b == '"' || b == '\\' || b == '<' || b == '>' || b == '&' {
			total += escaped
			continue
		}
		total++
	}
	return total
}

// shrink drops the bodies of the oldest results until the record has at most
// limit bytes, or no bodies are left.
func (r Record) shrink(limit int) {
	total := r.bytes()
	if total <= limit {
		return
	}
	keys := []string{}
	for key, c := range r.Claims {
		if c.Result != nil && !c.Result.BodyDropped {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b string) int {
		if d := r.Claims[a].Done - r.Claims[b].Done; d != 0 {
			return int(d)
		}
		return strings.Compare(a, b)
	})
	for _, key := range keys {
		if total <= limit {
			return
		}
		c := r.Claims[key]
		total -= claimBytes(key, c)
		short := c.Result.withoutBody()
		c.Result = &short
		r.set(key, c)
		total += claimBytes(key, r.Claims[key])
	}
}
