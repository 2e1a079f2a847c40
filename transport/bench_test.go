package transport

import (
	"testing"
)

// benchmarkPair returns two started nodes on the loopback interface.
func benchmarkPair(b *testing.B) (caller, server *Node) {
	b.Helper()
	nodes := make([]*Node, 0, 2)
	for _, name := range []string{"caller", "server"} {
		node, err := Listen(Config{Name: name, Listen: "127.0.0.1:0", Keys: [][]byte{keyNew}}, nil)
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(func() { node.Close() })
		serveTestKinds(node, make(chan string, 1))
		if err := node.Start(); err != nil {
			b.Fatal(err)
		}
		nodes = append(nodes, node)
	}
	return nodes[0], nodes[1]
}

// BenchmarkCall makes sequential calls on one connection.
func BenchmarkCall(b *testing.B) {
	caller, server := benchmarkPair(b)
	address := server.Address()
	request := text{Text: "hello"}
	b.ReportAllocs()
	for b.Loop() {
		if err := caller.Call(b.Context(), address, kindEcho, request, &text{}); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkParallelCalls makes concurrent calls on one connection.
func BenchmarkParallelCalls(b *testing.B) {
	caller, server := benchmarkPair(b)
	address := server.Address()
	request := text{Text: "hello"}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if err := caller.Call(b.Context(), address, kindEcho, request, &text{}); err != nil {
				b.Error(err)
				return
			}
		}
	})
}

// BenchmarkStream opens a stream on an idle connection and reads 100 messages.
func BenchmarkStream(b *testing.B) {
	caller, server := benchmarkPair(b)
	address := server.Address()
	const messages = 100
	b.ReportAllocs()
	for b.Loop() {
		stream, err := caller.OpenStream(b.Context(), address, kindCount, number{Number: messages})
		if err != nil {
			b.Fatal(err)
		}
		for range messages {
			if err := stream.Next(&number{}); err != nil {
				b.Fatal(err)
			}
		}
		if err := stream.Next(&number{}); err == nil {
			b.Fatal("the stream has more messages than requested")
		}
	}
}
