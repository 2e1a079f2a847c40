package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// TestLateCloseLeavesNextRequestAlone guards against a body that is closed after it was read
// to its end and ends the next request on its connection (review/1, the 502s beside it).
func TestLateCloseLeavesNextRequestAlone(t *testing.T) {
	received, respond := make(chan struct{}), make(chan struct{})
	address, connections := listen(t, func(conn net.Conn, reader *bufio.Reader) {
		for number := 1; ; number++ {
			if _, err := http.ReadRequest(reader); err != nil {
				return
			}
			if number == 2 {
				close(received)
				<-respond
			}
			if _, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"); err != nil {
				return
			}
		}
	})
	pool := NewPool(Config{})
	first, err := pool.Do(t.Context(), address, newRequest(t, http.MethodGet), nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, first.Body); err != nil {
		t.Fatal(err)
	}
	second := make(chan error, 1)
	go func() {
		text, err := get(t.Context(), pool, address)
		if err == nil && text != "ok" {
			t.Errorf("the second response is %q, want ok", text)
		}
		second <- err
	}()
	<-received
	first.Body.Close()
	first.Body.Close()
	if count, err := first.Body.Read(make([]byte, 1)); count != 0 || err != io.EOF {
		t.Errorf("a late read returned %d bytes and %v, want 0 and io.EOF", count, err)
	}
	close(respond)
	if err := <-second; err != nil {
		t.Errorf("the second request failed with %v", err)
	}
	if got := connections.Load(); got != 1 {
		t.Errorf("%d connections, want 1", got)
	}
}

// get sends a request without a body and returns the body of the response.
func get(ctx context.Context, pool *Pool, address string) (string, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://service.test/path", nil)
	if err != nil {
		return "", err
	}
	response, err := pool.Do(ctx, address, request, nil)
	if err != nil {
		return "", err
	}
	text, err := io.ReadAll(response.Body)
	response.Body.Close()
	return string(text), err
}

// TestCrowdOfRequestsSurvivesLateCloses guards against the end of the process by "sync:
// unlock of unlocked mutex" (review/1): a request takes a connection before the former
// request's release has returned, and its body is closed late and more than once.
func TestCrowdOfRequestsSurvivesLateCloses(t *testing.T) {
	const (
		goroutines = 200
		requests   = 60 // of each goroutine
		closeEvery = 10 // responses, after one of which the server closes the connection
		closes     = 2  // of each body
	)
	var served atomic.Int64
	address, _ := listen(t, func(conn net.Conn, reader *bufio.Reader) {
		for {
			if _, err := http.ReadRequest(reader); err != nil {
				return
			}
			response := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
			last := served.Add(1)%closeEvery == 0
			if last {
				response = "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok"
			}
			if _, err := io.WriteString(conn, response); err != nil || last {
				return
			}
		}
	})
	pool := NewPool(Config{DialTimeout: time.Minute})
	var crowd sync.WaitGroup
	var late sync.WaitGroup
	for range goroutines {
		crowd.Go(func() {
			for range requests {
				request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://service.test/path", nil)
				if err != nil {
					t.Error(err)
					return
				}
				response, err := pool.Do(t.Context(), address, request, nil)
				if err != nil {
					t.Error(err)
					return
				}
				if text, err := io.ReadAll(response.Body); err != nil || string(text) != "ok" {
					t.Errorf("got %q, %v", text, err)
				}
				for range closes {
					late.Go(func() { response.Body.Close() })
				}
			}
		})
	}
	crowd.Wait()
	late.Wait()
	pool.CloseIdleConnections(address)
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if len(pool.addresses) != 0 {
		t.Errorf("%d connections are still counted as open", pool.addresses[address].open)
	}
}

// BenchmarkRequest measures a request with a body of 1 KiB and a response of 1 KiB on a
// kept connection.
func BenchmarkRequest(b *testing.B) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer listener.Close()
	body := make([]byte, 1<<10)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		response := append([]byte("HTTP/1.1 200 OK\r\nContent-Length: 1024\r\nX-Request-Id: 1\r\n\r\n"), body...)
		head := make([]byte, 4<<10)
		for {
			if _, err := conn.Read(head); err != nil {
				return
			}
			if _, err := conn.Write(response); err != nil {
				return
			}
		}
	}()
	pool := NewPool(Config{})
	b.ReportAllocs()
	for b.Loop() {
		request, err := http.NewRequestWithContext(b.Context(), http.MethodPost, "http://service.test/path", nil)
		if err != nil {
			b.Fatal(err)
		}
		response, err := pool.Do(b.Context(), listener.Addr().String(), request, body)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			b.Fatal(err)
		}
		response.Body.Close()
	}
}
