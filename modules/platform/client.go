package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
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
	// Logger logs each item that is no host, once; it may be nil.
	Logger hclog.Logger

	mu sync.Mutex
	// refused holds the items that the last list had besides hosts.
	refused map[string]bool
}

// Hosts implements runworks.HostList. Items that are no hosts are left out: the others must not wait for them.
func (h *Hosts) Hosts(ctx context.Context) ([]runworks.Host, error) {
	var items []json.RawMessage
	if err := call(ctx, h.Client, http.MethodGet, h.Address+"/hosts", nil, &items); err != nil {
		return nil, errorx.Decorate(err, "read the host list")
	}
	hosts, refused := make([]runworks.Host, 0, len(items)), make(map[string]bool)
	for _, item := range items {
		var host runworks.Host
		if err := json.Unmarshal(item, &host); err == nil && host.Name != "" {
			hosts = append(hosts, host)
			continue
		}
		refused[string(item)] = true
	}
	h.setRefused(refused)
	return hosts, nil
}

// setRefused logs the items that are new among the refused ones.
func (h *Hosts) setRefused(refused map[string]bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for item := range refused {
		if !h.refused[item] && h.Logger != nil {
			h.Logger.Warn("item of the host list is no host", "item", fmt.Sprintf("%.200s", item))
		}
	}
	h.refused = refused
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
