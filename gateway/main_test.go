package gateway

import (
	"fmt"
	"net/http"
	"os"
	"testing"

	"go.uber.org/goleak"
)

// TestMain fails if the tests leave a goroutine behind.
func TestMain(m *testing.M) {
	status := m.Run()
	http.DefaultClient.CloseIdleConnections()
	if status == 0 {
		// A server's connection lingers for half a second of its own after an
		// answer that closes it; that is the standard library's and ends by itself.
		lingering := goleak.IgnoreAnyFunction("net/http.(*conn).closeWriteAndWait")
		if err := goleak.Find(lingering); err != nil {
			fmt.Fprintln(os.Stderr, err)
			status = 1
		}
	}
	os.Exit(status)
}
