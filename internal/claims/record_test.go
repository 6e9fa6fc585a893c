package claims_test

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strconv"
	"testing"

	"pistachioroad.dev/pistachioroad/internal/claims"
)

// FuzzParseRecord checks that ParseRecord does not panic or accept an invalid
// record, and that Encode is equivalent to json.Marshal for accepted records.
func FuzzParseRecord(f *testing.F) {
	for _, seed := range []string{
		``, `{}`, `null`, `{"epoch":1}`,
		`{"write_id":"w","epoch":2,"owner":"a","incarnation":"i","plan_version":1,"clock_ms":5}`,
		`{"write_id":"w","epoch":2,"owner":"a","claims":{"k":{"body":18446744073709551615,"epoch":1,"request":"r"}}}`,
		`{"write_id":"w","epoch":2,"owner":"a","claims":{"k":{"body":1,"epoch":3,"request":"r"}}}`,
		`{"write_id":"w","epoch":2,"owner":"a","claims":{"k":{"body":1,"epoch":1,"request":"r","done_ms":4,` +
			`"result":{"status":201,"headers":[{"n":"a","v":"b"}],"body":"eA==","body_digest":7,"body_bytes":1}}}}`,
		`{"write_id":"w","epoch":2,"owner":"a","claims":{"k<":{"body":1,"epoch":1},"\u0000":{"body":1,"epoch":2}}}`,
		`{"write_id":"w","epoch":-1,"owner":"a"}`,
		`{"write_id":"w","epoch":1,"owner":"a","released":true} x`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := claims.ParseRecord(data)
		if err != nil {
			return
		}
		if r.Epoch == 0 || r.Owner == "" || r.WriteID == "" {
			t.Fatalf("invalid record accepted: %+v", r)
		}
		encoded, err := r.Encode()
		if err != nil {
			t.Fatal(err)
		}
		plain, err := json.Marshal(r)
		if err != nil {
			t.Fatal(err)
		}
		again, err := claims.ParseRecord(encoded)
		if err != nil {
			t.Fatal(err)
		}
		want, err := claims.ParseRecord(plain)
		if err != nil || !reflect.DeepEqual(again, want) {
			t.Fatalf("%s became %s (%v)", plain, encoded, err)
		}
	})
}

// BenchmarkCommit measures the encoding of a record for a commit.
func BenchmarkCommit(b *testing.B) {
	for _, keys := range []int{100, 1000, 2000} {
		b.Run(strconv.Itoa(keys), func(b *testing.B) {
			r := claims.Record{WriteID: "w", Epoch: 1, Owner: "a", Claims: map[string]claims.Claim{}}
			for n := range keys {
				result := claims.NewResult(201, nil, []byte(`{"hold":"0192d2c1-7d5c-7e60-a5a0-3f1c2b9a8e11"}`))
				r.Claims[fmt.Sprintf("0192d2c1-7d5c-7e60-a5a0-%012d", n)] = claims.Claim{
					BodyDigest: 1 << 63, Epoch: 1,
					RecordedAt: 1_000_000, Result: &result,
				}
			}
			// The claims of an owner's record are already encoded, by an earlier
			// read or write.
			data, err := r.Encode()
			if err != nil {
				b.Fatal(err)
			}
			if r, err = claims.ParseRecord(data); err != nil {
				b.Fatal(err)
			}
			size := 0
			for b.Loop() {
				data, err := r.Encode()
				if err != nil {
					b.Fatal(err)
				}
				size = len(data)
			}
			b.ReportMetric(float64(size)/float64(keys), "B/key")
		})
	}
}
