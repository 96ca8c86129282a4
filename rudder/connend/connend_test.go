package connend_test

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"chestnutrudder.example/rudder/connend"
)

// pair returns both ends of a TCP connection.
func pair(t *testing.T) (client, server *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	dialled, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { dialled.Close(); accepted.Close() })
	return dialled.(*net.TCPConn), accepted.(*net.TCPConn)
}

// writeUntilError writes without end and sends the error to the channel.
func writeUntilError(conn net.Conn) <-chan error {
	done := make(chan error, 1)
	go func() {
		block := make([]byte, 1<<20)
		for {
			if _, err := conn.Write(block); err != nil {
				done <- err
				return
			}
		}
	}()
	return done
}

// Guards against a reset that the kernel reports to the write only: the read after it must not return an ordinary end.
func TestResetReceivedByWriteIsReturnedByRead(t *testing.T) {
	client, server := pair(t)
	conn := connend.New(client)
	written := writeUntilError(conn)
	if _, err := server.Write([]byte("part")); err != nil {
		t.Fatal(err)
	}
	time.Sleep(30 * time.Millisecond) // until the buffers of the connection are full
	_ = server.SetLinger(0)
	server.Close()
	if err := <-written; !errors.Is(err, syscall.ECONNRESET) {
		t.Fatalf("write returned %v, want a reset", err)
	}
	if data, err := io.ReadAll(conn); !errors.Is(err, syscall.ECONNRESET) || string(data) != "part" {
		t.Errorf("read returned %q, %v, want the part and the reset", data, err)
	}
}

// A peer may end its side in order while it still accepts what is written. Read must return the end, and end the write.
func TestEndInOrderDuringWriteIsReturnedByRead(t *testing.T) {
	client, server := pair(t)
	conn := connend.New(client)
	written := writeUntilError(conn)
	if _, err := server.Write([]byte("whole")); err != nil {
		t.Fatal(err)
	}
	if err := server.CloseWrite(); err != nil {
		t.Fatal(err)
	}
	if data, err := io.ReadAll(conn); err != nil || string(data) != "whole" {
		t.Errorf("read returned %q, %v, want the whole response and no error", data, err)
	}
	select {
	case <-written:
	case <-time.After(20 * time.Second):
		t.Error("the write did not end with the response")
	}
}

// A connection whose request was written completely ends as it did without Conn.
func TestEndAfterWriteIsReturnedByRead(t *testing.T) {
	client, server := pair(t)
	conn := connend.New(client)
	if _, err := conn.Write([]byte("request")); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(server, make([]byte, len("request"))); err != nil {
		t.Fatal(err)
	}
	_, _ = server.Write([]byte("whole"))
	server.Close()
	if data, err := io.ReadAll(conn); err != nil || string(data) != "whole" {
		t.Errorf("read returned %q, %v, want the whole response and no error", data, err)
	}
}

// Guards against a reset that the kernel reports to a look at unread bytes only: the read after it must not return an ordinary end.
func TestResetReceivedByPeekIsReturnedByRead(t *testing.T) {
	client, server := pair(t)
	conn := connend.New(client)
	if _, err := server.Write([]byte("part")); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(conn, make([]byte, len("part"))); err != nil {
		t.Fatal(err)
	}
	if unread := conn.Peek(); unread != connend.UnreadNothing {
		t.Fatalf("peek returned %d before the reset, want nothing unread", unread)
	}
	_ = server.SetLinger(0)
	server.Close()
	for deadline := time.Now().Add(20 * time.Second); conn.Peek() != connend.UnreadEnd; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the reset did not arrive")
		}
	}
	if n, err := conn.Read(make([]byte, 1)); n != 0 || !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("read returned %d bytes, %v, want the reset", n, err)
	}
	if err := conn.Err(); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("first error %v, want the reset", err)
	}
}

// The end of a connection in order and unread bytes are no errors, whoever has looked at them.
func TestPeekLeavesBytesAndEndInOrder(t *testing.T) {
	client, server := pair(t)
	conn := connend.New(client)
	_, _ = server.Write([]byte("whole"))
	server.Close()
	for deadline := time.Now().Add(20 * time.Second); conn.Peek() != connend.UnreadBytes; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the bytes did not arrive")
		}
	}
	if data, err := io.ReadAll(conn); err != nil || string(data) != "whole" {
		t.Errorf("read returned %q, %v, want the whole response and no error", data, err)
	}
	if unread := conn.Peek(); unread != connend.UnreadEnd || conn.Err() != nil {
		t.Errorf("peek returned %d with first error %v, want the end and no error", unread, conn.Err())
	}
}
