package gateway

import (
	"strconv"

	"pistachioroad.dev/pistachioroad/internal/backend"
	"pistachioroad.dev/pistachioroad/internal/decide/streamversion"
	"pistachioroad.dev/pistachioroad/internal/verdict"
)

// fixStreamVersion records that an engine has sent the first event that is forwarded. From
// then on, the stream goes on only at the engine's software version.
func (c *call) fixStreamVersion(decodeEngine backend.Server) {
	if _, fixed := c.streamVersion.Version(); !fixed {
		c.streamVersion = streamversion.Only(streamversion.Of(decodeEngine))
	}
}

// checkVersion returns an error if a stream must not go on at an engine.
func (c *call) checkVersion(engine backend.Server) *verdict.Error {
	if c.streamVersion.Allows(streamversion.Of(engine)) {
		return nil
	}
	c.exclude(engine)
	return verdict.NewRejection(verdict.CodeVersionUnavailable, "the engine has software version "+engine.Version+", the stream "+c.versionName(), minRetryAfter)
}

// noEngineError returns the error of a request for which no engine is eligible. last is the
// error of its last attempt, nil if there was none.
func (c *call) noEngineError(last *verdict.Error) *verdict.Error {
	if _, fixed := c.streamVersion.Version(); !fixed || len(c.answeringServers()) > 0 {
		return c.noServerError("no engine", last)
	}
	message := "no engine serves software version " + c.versionName() + ", which began the stream"
	if last != nil && c.verdict != verdict.NotRun {
		return verdict.New(last.Verdict, verdict.CodeVersionUnavailable, message+"; before: "+last.Message)
	}
	return verdict.NewRejection(verdict.CodeVersionUnavailable, message, defaultRetryAfter)
}

// versionName returns the name of the version that began the stream, for logs and errors:
// its hash if no server has it any more.
func (c *call) versionName() string {
	version, fixed := c.streamVersion.Version()
	if !fixed {
		return "any"
	}
	for _, s := range c.gateway.directory.View().Servers {
		if streamversion.Of(s) == version {
			return s.Version
		}
	}
	return "#" + strconv.FormatUint(uint64(version.Software), 16)
}
