// Command standin runs a stand-in for a system outside this project: the platform,
// a model engine or a plain service.
//
//	standin -kind platform -address 127.0.0.1:7000
//	standin -kind engine -address 127.0.0.1:7001 -model draft -fencing
//	standin -kind service -address 127.0.0.1:7002 -delay 5ms
package main

import (
	"flag"
	"net/http"
	"time"

	"github.com/apex/log"

	"pistachioroad.dev/pistachioroad/internal/engine"
	"pistachioroad.dev/pistachioroad/test/standin/modelengine"
	"pistachioroad.dev/pistachioroad/test/standin/objectstore"
	"pistachioroad.dev/pistachioroad/test/standin/plainservice"
)

func main() {
	kind := flag.String("kind", "", "platform, engine or service")
	address := flag.String("address", "", "IP number and port to listen on")
	lag := flag.Duration("vm-lag", 500*time.Millisecond, "platform: how long changes of the VM list stay unseen")
	model := flag.String("model", "draft", "engine: the model it serves at its start")
	role := flag.String("role", string(engine.RoleMixed), "engine: its role at its start")
	fencing := flag.Bool("fencing", false, "engine: refuse orders below the highest generation taken")
	interval := flag.Duration("token-interval", 2*time.Millisecond, "engine: time between output tokens")
	prefill := flag.Float64("prefill-rate", 40_000, "engine: prompt tokens a second")
	change := flag.Duration("change-time", time.Second, "engine: how long an order takes")
	slots := flag.Int("slots", 16, "engine: generations that run at once")
	seed := flag.Uint64("seed", 1, "engine: seed of the lost cache events")
	delay := flag.Duration("delay", 2*time.Millisecond, "service: how long a call takes")
	flag.Parse()

	var handler http.Handler
	switch *kind {
	case "platform":
		store := objectstore.New()
		store.SetStaleLag(*lag)
		handler = store.ControlHandler()
	case "engine":
		config := modelengine.DefaultConfig(*address)
		config.Order.Model = *model
		config.Order.Role = engine.Role(*role)
		config.ChecksFencingToken = *fencing
		config.TokenInterval = *interval
		config.PrefillRate = *prefill
		config.ChangeTime = *change
		config.Slots = *slots
		config.Seed = *seed
		handler = modelengine.New(config).Handler()
	case "service":
		handler = plainservice.New(plainservice.Config{Delay: *delay}).Handler()
	default:
		log.Fatal("-kind: want platform, engine or service")
	}
	server := &http.Server{Addr: *address, Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	log.WithError(server.ListenAndServe()).Fatal("listen")
}
