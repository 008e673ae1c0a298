package netio

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a name server that does not answer: what is sent to other addresses must not wait.
func TestNamesAreLookedUpInTheBackground(t *testing.T) {
	receiver, err := New().ListenPacket("127.0.0.1:0")
	require.NoError(t, err)
	defer receiver.Close()
	sender, err := New().ListenPacket("127.0.0.1:0")
	require.NoError(t, err)
	defer sender.Close()
	answer := make(chan struct{})
	to, err := net.ResolveUDPAddr("udp", receiver.LocalAddr())
	require.NoError(t, err)
	sender.(*packetConn).lookUp = func(string) (*net.UDPAddr, error) {
		<-answer
		return to, nil
	}

	require.Error(t, sender.Send("a.example:7000", []byte("early")))
	require.NoError(t, sender.Send(receiver.LocalAddr(), []byte("other")))
	buf := make([]byte, 64)
	n, err := receiver.Receive(buf)
	require.NoError(t, err)
	require.Equal(t, "other", string(buf[:n]))

	close(answer)
	require.Eventually(t, func() bool { return sender.Send("a.example:7000", []byte("late")) == nil }, 5*time.Second, time.Millisecond)
	n, err = receiver.Receive(buf)
	require.NoError(t, err)
	require.Equal(t, "late", string(buf[:n]))
}
