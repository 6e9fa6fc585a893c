package gateway

import (
	"testing"
	"time"

	"pistachioroad.dev/pistachioroad/internal/direct"
	"pistachioroad.dev/pistachioroad/internal/request"
)

// Guards against attempts that are dropped before their server has proved to survive them, and
// against servers that are watched forever.
func TestServerSurvivesAnAttemptOnlyWithProof(t *testing.T) {
	start := time.Now()
	listening := look{presence: direct.Listening, probed: true}
	confirmed := func(after time.Duration) look { return look{confirmed: start.Add(after)} }
	for name, test := range map[string]struct {
		end      attemptEnd
		answered time.Duration
		success  bool
		looks    []look
		after    time.Duration
		survived bool
	}{
		"broken, listening once":                                   {end: broken, looks: []look{listening}},
		"broken, listening twice":                                  {end: broken, looks: []look{listening, listening}, survived: true},
		"broken, unreachable in between":                           {end: broken, looks: []look{listening, {probed: true}, listening}},
		"broken, not probed in between":                            {end: broken, looks: []look{listening, {}, listening}, survived: true},
		"unframed, listening once":                                 {end: unframed, looks: []look{listening}},
		"unframed, listening twice":                                {end: unframed, looks: []look{listening, listening}, survived: true},
		"unframed, answers a later request":                        {end: unframed, answered: unframedAliveAfter, looks: []look{{}}, survived: true},
		"unframed and whole, list of servers from before":          {end: unframed, success: true, looks: []look{listening, listening, confirmed(registrationTime - 1)}},
		"unframed and whole, list of servers confirmed after that": {end: unframed, success: true, looks: []look{listening, listening, confirmed(registrationTime)}, survived: true},
		"canceled, listening":                                      {end: canceled, looks: []look{listening, listening, listening}},
		"canceled, answers an early request":                       {end: canceled, answered: aliveAfter - 1, looks: []look{listening}},
		"canceled, answers a later request":                        {end: canceled, answered: aliveAfter, looks: []look{listening}, survived: true},
		"canceled, watched for long":                               {end: canceled, after: watchTime, looks: []look{listening}, survived: true},
	} {
		w := &serverWatch{attempts: map[request.Fingerprint]*endedAttempt{}, broke: make(chan struct{}, 1)}
		w.add(endedAttempt{request: 1, sentAt: start.Add(-time.Second), endedAt: start, end: test.end, success: test.success})
		if test.answered > 0 {
			w.answered = start.Add(test.answered)
		}
		var o outcome
		for _, l := range test.looks {
			l.began = start.Add(time.Millisecond)
			o = w.observe(start.Add(test.after), l)
		}
		if got := len(o.survived) == 1; got != test.survived {
			t.Errorf("%s: survived %v, want %v", name, got, test.survived)
		}
		if o = w.observe(start, look{presence: direct.Absent}); (len(o.ended) == 1) == test.survived {
			t.Errorf("%s: %d attempts count when the server terminates", name, len(o.ended))
		}
	}
}
