package sidecar

import (
	"context"

	"pistachioroad.dev/pistachioroad/internal/claims"
	"pistachioroad.dev/pistachioroad/internal/sidecar/requests"
	"pistachioroad.dev/pistachioroad/internal/verdict"
	"pistachioroad.dev/pistachioroad/internal/wire"
)

// claimKeeper is the part of the claims that the requests need.
type claimKeeper interface {
	Claim(ctx context.Context, r claims.Request) claims.Answer
	Finished(r claims.Request, result claims.Result)
	NotStarted(r claims.Request)
	ResultLost(r claims.Request)
}

var _ claimKeeper = (*claims.Duty)(nil)

// claimRequest returns the Claim as the claims know it.
func claimRequest(e requests.Claim) claims.Request {
	return claims.Request{
		Service:    e.Service,
		Key:        e.Key,
		BodyDigest: e.Digest,
		RequestID:  e.Request,
	}
}

// claimAnswered returns the answer as the request table knows it.
func claimAnswered(id requests.ClaimID, a claims.Answer) requests.ClaimDecided {
	answered := requests.ClaimDecided{Claim: id, Err: a.Err()}
	switch a.Kind {
	case claims.Granted:
		answered.Granted = true
	case claims.Replay:
		replay(&answered, a.Result)
	}
	return answered
}

func replay(answered *requests.ClaimDecided, result claims.Result) {
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

// settle tells the claims how a granted call ended.
func settle(keeper claimKeeper, r claims.Request, e requests.SettleClaim) {
	switch e.Verdict {
	case verdict.NotRun:
		keeper.NotStarted(r)
	case verdict.Ran:
		keeper.Finished(r, claimResult(e))
	default:
		keeper.ResultLost(r)
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
