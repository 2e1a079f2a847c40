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
		if err := goleak.Find(); err != nil {
			fmt.Fprintln(os.Stderr, err)
			status = 1
		}
	}
	os.Exit(status)
}
