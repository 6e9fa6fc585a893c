package soakproc

import (
	"fmt"
	"strings"
)

// malformedServers are values of server objects that other programs have written. None
// names a server.
func malformedServers(version int64) []string {
	const depth = 12_000
	return []string{
		strings.Repeat("[", depth) + strings.Repeat("]", depth),
		fmt.Sprintf(`{"serviceName":%q,"address":"127.0.0.1:99999","zone":"z","capacity":8,"state":"ready","sequence":%d}`, plainService, version),
		fmt.Sprintf(`{"serviceName":%q,"address":"127.0.0.1:9","zone":"z","capacity":1e300,"state":"ready","sequence":%d}`, plainService, version),
		fmt.Sprintf(`{"serviceName":%q,"address":"127.0.0.1:9","zone":"z","capacity":8,"state":"ready","more":%s}`, modelService, strings.Repeat(`{"a":`, depth)+"1"+strings.Repeat("}", depth)),
		"{\"zone\":\"\x01\"}",
	}
}

// writeMalformedServers writes the malformed objects of a version. They stand until the next version.
func (env *environment) writeMalformedServers() {
	for i, value := range malformedServers(env.version) {
		env.putRaw("servers", fmt.Sprintf("malformed-%d", i), []byte(value))
	}
}
