package requests

import (
	"time"

	"pistachioroad.dev/pistachioroad/internal/wire"
)

// FirstFrameEvent returns the event for the first frame of a stream, or false if
// the frame is neither a Start nor a Resolve. The age of a frame is the process
// clock now minus its clock_us, which echoes this process's clock.
func FirstFrameEvent(stream Stream, f *wire.Frame, clock time.Duration) (Event, bool) {
	switch body := f.GetBody().(type) {
	case *wire.Frame_Start:
		age := frameAge(clock, body.Start.GetClockUs())
		return StartReceived{Stream: stream, Start: body.Start, Age: age}, true
	case *wire.Frame_Resolve:
		age := frameAge(clock, body.Resolve.GetClockUs())
		return ResolveReceived{Stream: stream, Resolve: body.Resolve, StartAge: age}, true
	}
	return nil, false
}

// LaterFrameEvent returns the event for any later frame of a stream, or false if
// it is not a Cancel.
func LaterFrameEvent(stream Stream, f *wire.Frame) (Event, bool) {
	if f.GetCancel() == nil {
		return nil, false
	}
	return CancelReceived{Stream: stream}, true
}

// frameAge returns an upper bound of the age of a frame. A frame with a clock
// value in the future counts as new.
func frameAge(clock time.Duration, clockUS int64) time.Duration {
	if clockUS <= 0 {
		return AgeUnknown
	}
	sent := time.Duration(min(clockUS, clock.Microseconds())) * time.Microsecond
	return max(0, clock-sent)
}

// budget returns the time budget of a Start, limited to the range from 0 to
// longest: an extreme value would overflow the deadline.
func budget(s *wire.Start, longest time.Duration) time.Duration {
	us := min(max(0, s.GetBudgetUs()), longest.Microseconds())
	return time.Duration(us) * time.Microsecond
}
