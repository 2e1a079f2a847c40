package gateway

import (
	"fmt"
	"net/http"
	"os"
	"testing"

	"go.uber.org/goleak"
)

// TestMain fails if goroutines are still running after all tests.
func TestMain(m *testing.M) {
	status := m.Run()
	http.DefaultClient.CloseIdleConnections()
	if status == 0 {
		// After a response that closes the connection, net/http waits for half a second
		// before it closes its side. That goroutine ends by itself.
		lingering := goleak.IgnoreAnyFunction("net/http.(*conn).closeWriteAndWait")
		if err := goleak.Find(lingering); err != nil {
			fmt.Fprintln(os.Stderr, err)
			status = 1
		}
	}
	os.Exit(status)
}
