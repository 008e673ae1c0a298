package http1

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cicadaseam/cicadaseam"
)

// malformedHeads are heads of responses that are none in the protocol, without the empty line.
var malformedHeads = map[string]string{
	"status 000":                  "HTTP/1.1 000 OK\r\nContent-Length: 2",
	"status 099":                  "HTTP/1.1 099 OK\r\nContent-Length: 2",
	"status 600":                  "HTTP/1.1 600 OK\r\nContent-Length: 2",
	"status of two digits":        "HTTP/1.1 20 OK\r\nContent-Length: 2",
	"status of four digits":       "HTTP/1.1 2000 OK\r\nContent-Length: 2",
	"status with a sign":          "HTTP/1.1 +20 OK\r\nContent-Length: 2",
	"other version":               "HTTP/2.0 200 OK\r\nContent-Length: 2",
	"other protocol":              "ICY 200 OK\r\nContent-Length: 2",
	"control byte in the reason":  "HTTP/1.1 200 O\x01K\r\nContent-Length: 2",
	"blank in a name":             "HTTP/1.1 200 OK\r\nX Name: v\r\nContent-Length: 2",
	"blank before the colon":      "HTTP/1.1 200 OK\r\nX-Name : v\r\nContent-Length: 2",
	"blank in the length's name":  "HTTP/1.1 200 OK\r\nContent-Length : 2",
	"control byte in a name":      "HTTP/1.1 200 OK\r\nX\x01Name: v\r\nContent-Length: 2",
	"tab in a name":               "HTTP/1.1 200 OK\r\nX\tName: v\r\nContent-Length: 2",
	"byte above ASCII in a name":  "HTTP/1.1 200 OK\r\nX\xffName: v\r\nContent-Length: 2",
	"no name":                     "HTTP/1.1 200 OK\r\n: v\r\nContent-Length: 2",
	"no colon":                    "HTTP/1.1 200 OK\r\nX-Name\r\nContent-Length: 2",
	"control byte in a value":     "HTTP/1.1 200 OK\r\nX-Name: a\x00b\r\nContent-Length: 2",
	"carriage return in a value":  "HTTP/1.1 200 OK\r\nX-Name: a\rb\r\nContent-Length: 2",
	"folded line":                 "HTTP/1.1 200 OK\r\nX-Name: a\r\n b\r\nContent-Length: 2",
	"folded first line":           "HTTP/1.1 200 OK\r\n X-Name: a\r\nContent-Length: 2",
	"two lengths":                 "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 1",
	"the same length twice":       "HTTP/1.1 200 OK\r\nContent-Length: 2\r\ncontent-length: 2",
	"a list of lengths":           "HTTP/1.1 200 OK\r\nContent-Length: 2, 2",
	"a length with a sign":        "HTTP/1.1 200 OK\r\nContent-Length: +2",
	"length beside chunks":        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked",
	"other transfer encoding":     "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip",
	"chunks in HTTP/1.0":          "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked",
	"interim with a blank":        "HTTP/1.1 103 Early Hints\r\nX Name: v\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2",
	"other protocol was accepted": "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x",
}

// Guards against responses that are none in the protocol and reach a caller as the server's.
func TestMalformedHeadIsNoResponse(t *testing.T) {
	for name, head := range malformedHeads {
		resp, err := ReadFinalResponse(bufio.NewReader(strings.NewReader(head+"\r\n\r\nok")), &http.Request{Method: "GET"})
		require.Error(t, err, "%s: %v", name, resp)
	}
}

// Guards against a check that refuses responses of the protocol.
func TestProperHeadsAreAccepted(t *testing.T) {
	for name, head := range map[string]string{
		"no reason":           "HTTP/1.1 200\r\nContent-Length: 2",
		"empty reason":        "HTTP/1.1 200 \r\nContent-Length: 2",
		"lines end with LF":   "HTTP/1.1 200 OK\nContent-Length: 2",
		"HTTP/1.0":            "HTTP/1.0 200 OK\r\nContent-Length: 2",
		"interim":             "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2",
		"all token bytes":     "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09azAZ: v\r\nContent-Length: 2",
		"tab and UTF-8":       "HTTP/1.1 200 OK\r\nX-Name:\tä\tb\r\nContent-Length: 2",
		"empty value":         "HTTP/1.1 200 OK\r\nX-Name:\r\nContent-Length: 2",
		"same name twice":     "HTTP/1.1 200 OK\r\nX-Name: a\r\nX-Name: b\r\nContent-Length: 2",
		"body until the end":  "HTTP/1.1 200 OK\r\nX-Name: a",
		"unknown status":      "HTTP/1.1 299 Fine\r\nContent-Length: 2",
		"highest status":      "HTTP/1.1 599 None\r\nContent-Length: 2",
		"head of some length": "HTTP/1.1 200 OK\r\nX-Name: " + strings.Repeat("v", 2000) + "\r\nContent-Length: 2",
	} {
		end := "\r\n\r\nok"
		if strings.HasSuffix(name, "LF") {
			end = "\n\nok"
		}
		resp, err := ReadFinalResponse(bufio.NewReader(strings.NewReader(head+end)), &http.Request{Method: "GET"})
		require.NoError(t, err, name)
		body, err := io.ReadAll(resp.Body)
		require.NoError(t, err, name)
		require.Equal(t, "ok", string(body), name)
	}
}

// Guards against a head that is cut anywhere, or arrives byte by byte, and is taken for another one.
func TestHeadIsPeekedWhole(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Name: a\r\n\r\n"
	for cut := range len(head) {
		_, err := PeekHead(bufio.NewReader(strings.NewReader(head[:cut])))
		require.ErrorIs(t, err, io.EOF, "cut after %d bytes", cut)
	}
	got, err := PeekHead(bufio.NewReader(oneByteReader{strings.NewReader(head + "ok")}))
	require.NoError(t, err)
	require.Equal(t, head, string(got))
	r := bufio.NewReaderSize(strings.NewReader(head+"ok"), 16)
	_, err = PeekHead(r)
	require.ErrorIs(t, err, bufio.ErrBufferFull)
}

// oneByteReader reads one byte at a time.
type oneByteReader struct{ r io.Reader }

func (r oneByteReader) Read(b []byte) (int, error) { return r.r.Read(b[:1]) }

// Guards against bytes that are lost or repeated when the buffer grows or shrinks.
func TestResizedReaderContinues(t *testing.T) {
	const text = "a head that does not fit into the buffer of sixteen bytes"
	src := NewSource(strings.NewReader(text))
	r := bufio.NewReaderSize(src, 16)
	at := 0
	for _, size := range []int{32, 16, 64, 32, 16, 128} {
		n, err := r.Discard(2)
		require.NoError(t, err)
		at += n
		_, _ = r.Peek(10)
		r = src.Resize(r, size)
	}
	all, err := io.ReadAll(r)
	require.NoError(t, err)
	require.Equal(t, text[at:], string(all))
}

// Guards against a response that a client of the standard library has parsed, and that is none in the
// protocol or may have broken off.
func TestCheckedTransportFails(t *testing.T) {
	for name, head := range map[string]string{
		"status 000":              "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\n",
		"blank in a name":         "HTTP/1.1 200 OK\r\nX Name: v\r\nContent-Length: 2\r\n\r\n",
		"body without a length":   "HTTP/1.1 200 OK\r\n\r\n",
		"status of another range": "HTTP/1.1 700 OK\r\nContent-Length: 2\r\n\r\n",
	} {
		transport := CheckedTransport(roundTripperFunc(func(req *http.Request) (*http.Response, error) {
			return http.ReadResponse(bufio.NewReader(strings.NewReader(head+"ok")), req)
		}))
		req, err := http.NewRequest(http.MethodGet, "http://127.0.0.1/", nil)
		require.NoError(t, err)
		_, err = transport.RoundTrip(req)
		var headErr *HeadError
		require.True(t, errors.As(err, &headErr), "%s: %v", name, err)
	}
}

type roundTripperFunc func(*http.Request) (*http.Response, error)

func (f roundTripperFunc) RoundTrip(req *http.Request) (*http.Response, error) { return f(req) }

// Guards against a response that a node of an earlier release passes on.
func TestHeadersOfOtherNodesAreChecked(t *testing.T) {
	proper := []cicadaseam.Header{{Name: "X-Name", Value: "v"}}
	require.NoError(t, CheckHeaders(200, proper))
	require.NoError(t, CheckHeaders(0, nil), "a refusal has no response")
	require.Error(t, CheckHeaders(99, proper))
	require.Error(t, CheckHeaders(600, proper))
	require.Error(t, CheckHeaders(200, []cicadaseam.Header{{Name: "X Name", Value: "v"}}))
	require.Error(t, CheckHeaders(200, []cicadaseam.Header{{Name: "X-Name", Value: "a\r\nX-Other: b"}}))
}
