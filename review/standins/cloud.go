package main

import (
	"io"
	"net"
	"net/http"
)

// startCloud starts a stand-in of the platform's API for duties, which accepts all calls.
func startCloud(address string) (string, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return "", err
	}
	go func() {
		_ = http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			w.WriteHeader(http.StatusOK)
		}))
	}()
	return listener.Addr().String(), nil
}
