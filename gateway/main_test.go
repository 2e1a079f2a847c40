package gateway

import (
	"fmt"
	"net/http"
	"os"
	"testing"

	"go.uber.org/goleak"
)

// TestMain fails if the tests leave a goroutine behind.
// restingConnections are connections that the library's server has ended and
// keeps for 500 ms more, so that the client can read what was sent.
var restingConnections = goleak.IgnoreAnyFunction("net/http.(*conn).closeWriteAndWait")

func TestMain(m *testing.M) {
	status := m.Run()
	http.DefaultClient.CloseIdleConnections()
	if status == 0 {
		if err := goleak.Find(restingConnections); err != nil {
			fmt.Fprintln(os.Stderr, err)
			status = 1
		}
	}
	os.Exit(status)
}
