package requests

import (
	"time"

	"pistachioroad.dev/pistachioroad/internal/wire"
)

// FirstFrame returns the event of the first frame of a stream, or false if the
// frame begins neither an attempt nor a question. The age of a frame is now
// minus clock_us, by the clock of this process.
func FirstFrame(stream Stream, f *wire.Frame, clock time.Duration) (Event, bool) {
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

// LaterFrame returns the event of any other frame of an attempt's stream, or
// false if it means nothing there.
func LaterFrame(stream Stream, f *wire.Frame) (Event, bool) {
	if f.GetCancel() == nil {
		return nil, false
	}
	return CancelReceived{Stream: stream}, true
}

// frameAge returns how old a frame is at most. A negative age would be a clock
// that went back; such a frame counts as new.
func frameAge(clock time.Duration, clockUS int64) time.Duration {
	if clockUS <= 0 {
		return AgeUnknown
	}
	sent := time.Duration(min(clockUS, clock.Microseconds())) * time.Microsecond
	return max(0, clock-sent)
}

// budget returns the time that a Start brings, within sane bounds: a number
// near the end of its range would overflow into the past or the far future.
func budget(s *wire.Start, longest time.Duration) time.Duration {
	us := min(max(0, s.GetBudgetUs()), longest.Microseconds())
	return time.Duration(us) * time.Microsecond
}
