package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/joomcode/errorx"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/modules/httpconn"
)

const (
	maxResponseBytes = 64 << 20
	callTimeout      = 5 * time.Second
	idleTimeout      = 90 * time.Second
)

// defaultClient bounds the heads of responses, which http.DefaultClient keeps up to 10 MB of.
var defaultClient = &http.Client{Transport: &http.Transport{Proxy: http.ProxyFromEnvironment, MaxResponseHeaderBytes: httpconn.MaxHeadBytes, IdleConnTimeout: idleTimeout}}

// Log is a client of the log service at Address.
type Log struct {
	// Address is the base URL of the log service.
	Address string
	// Client sends the requests; nil is one that bounds the heads of responses.
	Client *http.Client
}

// appendResponse is the response to an append.
type appendResponse struct {
	Offset int64 `json:"offset"`
}

// Append implements runworks.LogService. An error does not mean that nothing was appended.
func (l *Log) Append(ctx context.Context, data []byte) (int64, error) {
	var out appendResponse
	// The wrapper hides the type of the reader, so that net/http cannot send an append twice.
	body := io.NopCloser(bytes.NewReader(data))
	if err := call(ctx, l.Client, http.MethodPost, l.Address+"/records", body, &out); err != nil {
		return 0, errorx.Decorate(err, "append to the log")
	}
	return out.Offset, nil
}

// Read implements runworks.LogService.
func (l *Log) Read(ctx context.Context, from int64) (*runworks.LogPage, error) {
	var page runworks.LogPage
	url := fmt.Sprintf("%s/records?from=%d", l.Address, from)
	if err := call(ctx, l.Client, http.MethodGet, url, nil, &page); err != nil {
		return nil, errorx.Decorate(err, "read the log from %d", from)
	}
	if from < page.First {
		return &page, runworks.ErrTruncated
	}
	return &page, nil
}

// Hosts is a client of the host list at Address.
type Hosts struct {
	// Address is the base URL of the host list.
	Address string
	// Client sends the requests; nil is one that bounds the heads of responses.
	Client *http.Client
}

// Hosts implements runworks.HostList.
func (h *Hosts) Hosts(ctx context.Context) ([]runworks.Host, error) {
	var hosts []runworks.Host
	if err := call(ctx, h.Client, http.MethodGet, h.Address+"/hosts", nil, &hosts); err != nil {
		return nil, errorx.Decorate(err, "read the host list")
	}
	return hosts, nil
}

// call sends one request and decodes the JSON response into out. It fails after callTimeout.
func call(ctx context.Context, client *http.Client, method, url string, body io.Reader, out any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return errorx.Decorate(err, "build the request")
	}
	if client == nil {
		client = defaultClient
	}
	res, err := client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	limited := io.LimitReader(res.Body, maxResponseBytes)
	if res.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(limited)
		return errorx.ExternalError.New("%s: %s", res.Status, bytes.TrimSpace(text))
	}
	return json.NewDecoder(limited).Decode(out)
}
