package gateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"azurehitch/platform/platformtest"

	qt "github.com/frankban/quicktest"
)

// startServer starts a server of the service of the test table and lists it.
func (env *testEnv) startServer(t *testing.T, id string) *platformtest.Backend {
	t.Helper()
	return env.startBackend(t, platformtest.BackendOptions{
		ID: id, Service: "desk", FailureDomain: "reduit", Slots: 4, Incarnation: 7, Recorder: platformtest.DiscardRecorder{},
	})
}

// isServed reports whether all of some requests are served.
func (env *testEnv) isServed() bool {
	const requests = 10
	for range requests {
		if env.status(env.daemon.Addresses().Callers, fmt.Sprintf("/v%d/x", env.version)) != http.StatusOK {
			return false
		}
	}
	return true
}

// oddEntry returns the entry of a server of the service of the test table with a change.
func oddEntry(old, changed string) string {
	const sound = `{"service":"desk","address":"127.0.0.1:1","zone":"reduit","slots":4,"state":"ready","born":7,"sequence":1}`
	return strings.Replace(sound, old, changed, 1)
}

// putOddEntries leaves odd entries of another writer among those of the servers.
func (env *testEnv) putOddEntries(round string) {
	nested := strings.Repeat("[", 100_000)
	for i, value := range []string{
		nested, nested + strings.Repeat("]", 100_000), oddEntry(`"sequence":1`, `"models":`+nested), strings.Repeat(`{"a":`, 50_000),
		oddEntry(`:1"`, `:80800"`), oddEntry(`:1"`, `:0"`), oddEntry(`:1"`, `:-1"`), oddEntry("127.0.0.1", "0.0.0.0"), oddEntry("127.0.0.1", "host"),
		oddEntry(`"slots":4`, `"slots":9223372036854775807`), oddEntry(`"slots":4`, `"slots":1e400`), oddEntry(`"slots":4`, `"slots":NaN`),
		oddEntry(`"slots":4`, `"slots":-1`), oddEntry(`"born":7`, `"born":9223372036854775807`), oddEntry(`"born":7`, `"born":1e300`),
		oddEntry(`"desk"`, `7`), oddEntry(`"ready"`, `"elsewhere"`), oddEntry(`"ready"`, `null`), oddEntry(`"reduit"`, `["reduit"]`),
		oddEntry(`"desk"`, `"`+strings.Repeat("d", 200_000)+`"`), "null", "[]", "7", `""`, "\xff\xfe", "\x00", strings.Repeat("\x00", 1000),
	} {
		env.store.PutServerEntry(fmt.Sprintf("odd-%s-%d", round, i), []byte(value))
	}
	for _, id := range []string{"", "\xff\xfe", "i-1\r\nX-A: 1", strings.Repeat("i", 255)} {
		env.store.PutServerEntry(id, []byte(oddEntry(`"ready"`, `"elsewhere"`)))
		env.store.PutServerEntry(id, []byte(oddEntry(":1", ":70000")))
	}
}

func TestOddEntriesOfOtherWritersDoNotStopTheDaemon(t *testing.T) {
	withDaemon(t, func(env *testEnv) {
		env.putOddEntries("first")
		first := env.startServer(t, "desk-1")
		env.putOddEntries("second")
		env.Assert(env.await(5*time.Second, env.isServed), qt.IsTrue)

		env.startServer(t, "desk-2")
		env.putOddEntries("third")
		env.store.RemoveServer("desk-1")
		env.Assert(env.await(5*time.Second, env.isServed), qt.IsTrue)
		first.Kill()
		env.putOddEntries("fourth")
		env.Assert(env.await(5*time.Second, env.isServed), qt.IsTrue)

		env.store.ExpireRecords()
		env.publish()
		env.Assert(env.await(5*time.Second, env.isTableInForce), qt.IsTrue)
		env.Assert(env.await(5*time.Second, env.isServed), qt.IsTrue)
		env.Assert(env.status(env.daemon.Addresses().Ready, "/"), qt.Equals, http.StatusOK)
	})
}
