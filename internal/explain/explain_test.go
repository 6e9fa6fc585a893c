package explain_test

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"pistachioroad.dev/pistachioroad/internal/explain"
	"pistachioroad.dev/pistachioroad/test/seeded"
)

func TestMain(m *testing.M) { os.Exit(seeded.Run(m, seeded.RapidOptions{})) }

func TestExplain(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "explain")
}

var start = time.Date(2026, 3, 1, 9, 0, 0, 0, time.UTC)

// request returns the id of the nth request.
func request(n int) string {
	return uuid.NewSHA1(uuid.NameSpaceOID, []byte(fmt.Sprint(n))).String()
}

var _ = Describe("Log", func() {
	It("returns the records of one subject and of all, the oldest first", func() {
		log := explain.New(8)
		log.Add(start, "m1", "prefill", "decode engines idle")
		log.Add(start.Add(time.Second), request(1), "sent to m1", "least wait")
		log.Add(start.Add(2*time.Second), "m1", "decode", "prefill engines idle")
		Expect(log.RecordsFor("m1")).To(HaveLen(2))
		Expect(log.RecordsFor("m1")[1].Decision).To(Equal("decode"))
		Expect(log.RecordsFor("")).To(HaveLen(3))
		Expect(log.RecordsFor("")[1].Subject).To(Equal(request(1)))
		Expect(log.RecordsFor("m2")).To(BeEmpty())
	})

	// Guards against losing the record of an engine's role change when thousands
	// of requests follow before an operator looks it up.
	It("keeps the records of an engine while many requests are added", func() {
		log := explain.New(64)
		log.Add(start, "m1", "prefill", "decode engines idle")
		for i := range 1000 {
			log.Add(start, request(i), "sent to m1", "least wait")
		}
		Expect(log.RecordsFor("m1")).To(HaveLen(1))
		Expect(log.RecordsFor(request(0))).To(BeEmpty())
		Expect(log.RecordsFor(request(999))).To(HaveLen(1))
	})

	// Guards against an engine whose planned role flaps, and so adds a record
	// each second, evicting the few records of the other engines.
	It("keeps the records of an engine while another adds many", func() {
		log := explain.New(64)
		log.Add(start, "quiet", "prefill", "decode engines idle")
		for i := range 20_000 {
			log.Add(start.Add(time.Duration(i)), "noisy", fmt.Sprint(i), "flapping")
		}
		Expect(log.RecordsFor("quiet")).To(HaveLen(1))
		noisy := log.RecordsFor("noisy")
		Expect(noisy).To(HaveLen(64))
		Expect(noisy[63].Decision).To(Equal("19999"))
	})

	It("keeps the newest records and never exceeds its size", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			const size = 70
			log := explain.New(size)
			adds := rapid.SliceOfN(rapid.IntRange(0, 4), 1, 300).Draw(t, "subjects")
			for i, n := range adds {
				log.Add(start.Add(time.Duration(i)), request(n), fmt.Sprint(i), "")
			}
			last := log.RecordsFor(request(adds[len(adds)-1]))
			Expect(last[len(last)-1].Decision).To(Equal(fmt.Sprint(len(adds) - 1)))
			Expect(len(log.RecordsFor(""))).To(BeNumerically("<=", size))
		})
	})
})
