package store_test

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"testing"
	"time"

	"go.uber.org/goleak"

	"catkinpoint/stand/fakekv"
	"catkinpoint/store"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// serve runs fakekv on a loopback port and returns a client of it.
func serve(t testing.TB, opts store.Options) (*fakekv.Server, *store.Client) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := fakekv.New()
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- server.Serve(ctx, listener) }()
	client := store.New(netip.MustParseAddrPort(listener.Addr().String()), opts)
	t.Cleanup(func() {
		client.Close()
		cancel()
		if err := <-served; err != nil {
			t.Errorf("serve: %v", err)
		}
	})
	return server, client
}

// Guards against results that change on their way over HTTP.
func TestClientRoundTrip(t *testing.T) {
	_, client := serve(t, store.Options{Caller: "a"})
	ctx := t.Context()
	lease, err := client.Grant(ctx, time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	value := make([]byte, store.MaxValueBytes)
	value[7] = 0xff
	revision, err := client.Put(ctx, "k/1", value, 0, lease)
	if err != nil {
		t.Fatal(err)
	}
	item, err := client.Get(ctx, "k/1")
	if err != nil || string(item.Value) != string(value) || item.Revision != revision || item.Lease != lease {
		t.Fatalf("get returned revision %d, lease %d, %v", item.Revision, item.Lease, err)
	}
	if _, err := client.Put(ctx, "k/1", nil, 0, 0); !errors.Is(err, store.ErrConflict) {
		t.Errorf("put on a present key: %v", err)
	}
	if _, err := client.Put(ctx, "k/2", append(value, 0), 0, 0); !errors.Is(err, store.ErrTooLarge) {
		t.Errorf("put of a large value: %v", err)
	}
	if err := client.KeepAlive(ctx, lease); err != nil {
		t.Error(err)
	}
	if err := client.Revoke(ctx, lease); err != nil {
		t.Error(err)
	}
	if err := client.KeepAlive(ctx, lease); !errors.Is(err, store.ErrLeaseExpired) {
		t.Errorf("renewal after revoke: %v", err)
	}
	if _, err := client.Get(ctx, "k/1"); !errors.Is(err, store.ErrNotFound) {
		t.Errorf("get after revoke: %v", err)
	}
}
