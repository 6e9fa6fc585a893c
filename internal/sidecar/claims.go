package sidecar

import (
	"context"

	"pistachioroad.dev/pistachioroad/internal/claims"
	"pistachioroad.dev/pistachioroad/internal/sidecar/requests"
	"pistachioroad.dev/pistachioroad/internal/verdict"
	"pistachioroad.dev/pistachioroad/internal/wire"
)

// claimStore is the subset of claims.Duty that requestsDuty uses.
type claimStore interface {
	Claim(ctx context.Context, r claims.Request) claims.Answer
	Finished(r claims.Request, result claims.Result)
	NotStarted(r claims.Request)
	ResultLost(r claims.Request)
}

var _ claimStore = (*claims.Duty)(nil)

// claimRequest converts a Claim effect for the claims duty.
func claimRequest(e requests.Claim) claims.Request {
	return claims.Request{
		Service:    e.Service,
		Key:        e.Key,
		BodyDigest: e.Digest,
		RequestID:  e.Request,
	}
}

// claimDecided converts a result of the claims duty for the request table.
func claimDecided(id requests.ClaimID, a claims.Answer) requests.ClaimDecided {
	answered := requests.ClaimDecided{Claim: id, Err: a.Err()}
	switch a.Kind {
	case claims.Granted:
		answered.Granted = true
	case claims.Replay:
		setReplay(&answered, a.Result)
	}
	return answered
}

func setReplay(answered *requests.ClaimDecided, result claims.Result) {
	if result.BodyDropped {
		answered.Err = verdict.New(verdict.Ran, verdict.CodeOutcomeUnknown, "the call ran, its answer was too large to keep")
		return
	}
	answered.Final = &wire.Final{Status: uint32(result.Status)}
	for _, h := range result.Headers {
		answered.Final.Headers = append(answered.Final.Headers, &wire.Header{Name: h.Name, Value: h.Value})
	}
	if len(result.Body) > 0 {
		answered.Chunks = []*wire.Chunk{{Data: result.Body}}
	}
}

// settleClaim reports the outcome of a granted call to the claims duty.
func settleClaim(store claimStore, r claims.Request, e requests.SettleClaim) {
	switch e.Verdict {
	case verdict.NotRun:
		store.NotStarted(r)
	case verdict.Ran:
		store.Finished(r, claimResult(e))
	default:
		store.ResultLost(r)
	}
}

func claimResult(e requests.SettleClaim) claims.Result {
	if e.Final == nil {
		return claims.Result{BodyDropped: true}
	}
	body := []byte{}
	for _, c := range e.Chunks {
		body = append(body, c.GetData()...)
	}
	headers := []claims.Header{}
	for _, h := range e.Final.GetHeaders() {
		headers = append(headers, claims.Header{Name: h.GetName(), Value: h.GetValue()})
	}
	return claims.NewResult(int(e.Final.GetStatus()), headers, body)
}
