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

// ObjectName returns the name of the store object that holds the record of a
// slot.
func ObjectName(service string, slot int) string {
	return "claims/" + service + "/" + strconv.Itoa(slot)
}

// Record is the content of the store object of a slot.
type Record struct {
	// WriteID is random for each write. A writer whose reply was lost reads the
	// object and looks for it.
	WriteID string `json:"write_id"`
	// Epoch is incremented each time the slot is acquired.
	Epoch uint64 `json:"epoch"`
	// Owner is a backend server; Incarnation identifies one start of its sidecar.
	Owner       string `json:"owner"`
	Incarnation string `json:"incarnation"`
	// Released is set once the owner has given up the slot, with all granted
	// calls finished and recorded.
	Released bool `json:"released,omitempty"`
	// PlanVersion is the version of the plan that the owner followed.
	PlanVersion uint64 `json:"plan_version"`
	// Clock is the total time in milliseconds for which the slot has had an
	// owner. Retention is measured with it, as the wall clocks of two VMs may
	// differ by more than the retention: results would then expire too early,
	// and their calls would run again.
	Clock int64 `json:"clock_ms"`
	// Claims holds the claims by idempotency key.
	Claims map[string]Claim `json:"claims,omitempty"`
}

// Claim is the recorded claim of one idempotency key.
type Claim struct {
	BodyDigest uint64 `json:"body"`
	// Epoch is the Record.Epoch in which the key was claimed. The call of a claim
	// from an earlier epoch without a Result may have run.
	Epoch uint64 `json:"epoch"`
	// RequestID identifies the request that claimed the key; empty once there is
	// a Result.
	RequestID string `json:"request,omitempty"`
	// Done is the Record.Clock at which the result was recorded.
	RecordedAt int64   `json:"done_ms,omitempty"`
	Result     *Result `json:"result,omitempty"`

	// encoded caches the encoded claim, or is nil. Each commit writes all claims
	// but changes only a few.
	encoded []byte
}

// ParseRecord parses a Record. It returns an error for malformed data, never an
// empty Record: with an empty one, calls that have run would run again.
func ParseRecord(data []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return Record{}, eris.Wrap(err, "parse claim record")
	}
	if r.Epoch == 0 || r.Owner == "" || r.WriteID == "" {
		return Record{}, eris.New("claim record without epoch, owner or write id")
	}
	for key, c := range r.Claims {
		if c.Epoch == 0 || c.Epoch > r.Epoch {
			return Record{}, eris.Errorf("claim %q has epoch %d, outside the range 1 to %d of its record", key, c.Epoch, r.Epoch)
		}
		r.set(key, c)
	}
	return r, nil
}

// Encode encodes the Record for ParseRecord. The order of the claims is
// unspecified.
func (r Record) Encode() ([]byte, error) {
	head := r
	head.Claims = nil
	data, err := json.Marshal(head)
	if err != nil {
		return nil, eris.Wrap(err, "encode claim record")
	}
	if len(r.Claims) == 0 {
		return data, nil
	}
	out := make([]byte, 0, r.sizeBound())
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

// encodeClaim returns the JSON member of a record for a claim and its key.
// Encoding them cannot fail.
func encodeClaim(key string, c Claim) []byte {
	name, _ := json.Marshal(key)
	value, _ := json.Marshal(c)
	return slices.Concat(name, []byte(":"), value)
}

// set adds or replaces a claim of the record.
func (r Record) set(key string, c Claim) {
	c.encoded = encodeClaim(key, c)
	r.Claims[key] = c
}

// clone returns a copy of r with a claims map of its own.
func (r Record) clone() Record {
	c := r
	c.Claims = maps.Clone(r.Claims)
	if c.Claims == nil {
		c.Claims = map[string]Claim{}
	}
	return c
}

// expire removes the claims whose results are older than retention. Claims
// without a result stay, as it will never be known whether their calls ran.
func (r Record) expire(retention time.Duration) {
	maps.DeleteFunc(r.Claims, func(_ string, c Claim) bool {
		return c.Result != nil && r.Clock-c.RecordedAt >= retention.Milliseconds()
	})
}

// Upper bounds of the encoded sizes in bytes, excluding strings of variable
// length.
const (
	recordOverhead = 512
	claimOverhead  = 128
	resultOverhead = 192
	headerOverhead = 16
	punctuation    = 1
)

// sizeBound returns an upper bound of the encoded size in bytes.
func (r Record) sizeBound() int {
	total := recordOverhead + jsonSizeBound(r.Owner) + jsonSizeBound(r.Incarnation)
	for key, c := range r.Claims {
		total += claimSizeBound(key, c)
	}
	return total
}

func claimSizeBound(key string, c Claim) int {
	if c.encoded != nil {
		return len(c.encoded) + punctuation
	}
	total := claimOverhead + jsonSizeBound(key) + jsonSizeBound(c.RequestID)
	if c.Result != nil {
		total += resultSizeBound(c.Result)
	}
	return total
}

func resultSizeBound(r *Result) int {
	const base64Group = 4
	total := resultOverhead + (len(r.Body)+2)/3*base64Group
	for _, h := range r.Headers {
		total += headerOverhead + jsonSizeBound(h.Name) + jsonSizeBound(h.Value)
	}
	return total
}

// jsonSizeBound returns an upper bound of the size of s as a JSON string in
// bytes.
func jsonSizeBound(s string) int {
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

// shrink drops headers and bodies, oldest results first, until the record has at
// most limit bytes or no bodies are left.
func (r Record) shrink(limit int) {
	total := r.sizeBound()
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
		if d := r.Claims[a].RecordedAt - r.Claims[b].RecordedAt; d != 0 {
			return int(d)
		}
		return strings.Compare(a, b)
	})
	for _, key := range keys {
		if total <= limit {
			return
		}
		c := r.Claims[key]
		total -= claimSizeBound(key, c)
		short := c.Result.withoutBody()
		c.Result = &short
		r.set(key, c)
		total += claimSizeBound(key, r.Claims[key])
	}
}
