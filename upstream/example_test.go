package upstream_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"

	"github.com/deckpulley/deckpulley/upstream"
)

func Example() {
	replica := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, "hello")
	}))
	address := replica.Listener.Addr().String()
	pool := upstream.NewPool(upstream.Config{})
	ctx := context.Background()

	request, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/", nil)
	response, err := pool.Do(ctx, address, request, nil)
	if err != nil {
		fmt.Println(err)
		return
	}
	text, _ := io.ReadAll(response.Body)
	response.Body.Close()
	fmt.Println(response.StatusCode, string(text))

	replica.Close()
	pool.CloseIdleConnections(address)
	if response, err = pool.Do(ctx, address, request, nil); err == nil {
		response.Body.Close()
	}
	var failure *upstream.RequestError
	fmt.Println("may have run:", errors.As(err, &failure) && failure.Sent)
	// Output:
	// 200 hello
	// may have run: false
}
