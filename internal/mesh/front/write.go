package front

import (
	"bufio"
	"net/http"
	"strconv"
)

// writeReply writes one answer.
func writeReply(w *bufio.Writer, p *pending, last bool) error {
	reply := p.reply
	text := http.StatusText(reply.Status)
	if text == "" {
		text = "Status"
	}
	_, _ = w.WriteString("HTTP/1.1 " + strconv.Itoa(reply.Status) + " " + text + "\r\n") // the flush reports failures
	for _, h := range reply.Headers {
		_, _ = w.WriteString(h.Name + ": " + h.Value + "\r\n")
	}
	if last {
		_, _ = w.WriteString("Connection: close\r\n")
	}
	if hasBody(p.method, reply.Status) {
		_, _ = w.WriteString("Content-Length: " + strconv.Itoa(len(reply.Body)) + "\r\n\r\n")
		_, _ = w.Write(reply.Body)
	} else {
		_, _ = w.WriteString("\r\n")
	}
	return w.Flush()
}

// hasBody reports whether an answer carries a body.
func hasBody(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}
