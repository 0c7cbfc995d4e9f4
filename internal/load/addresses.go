package load

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// addressCache holds the list of caller addresses of the fleet for its time to live, as a real
// caller does.
type addressCache struct {
	seeds         []string
	failureDomain string
	client        *http.Client
	// token is sent with each request for the list; empty sends none.
	token string

	mu        sync.Mutex
	addresses []string
	expires   time.Time
	next      int
}

// addressList is the answer of /v1/addresses.
type addressList struct {
	TTLSeconds int `json:"ttl_seconds"`
	Addresses  []struct {
		Address string `json:"address"`
	} `json:"addresses"`
}

// pick returns the address for the next request. It goes through the list in turn, because
// one generator represents many callers.
func (c *addressCache) pick(ctx context.Context) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().After(c.expires) {
		c.refresh(ctx)
	}
	c.next++
	if len(c.addresses) == 0 {
		return c.seeds[c.next%len(c.seeds)]
	}
	return c.addresses[c.next%len(c.addresses)]
}

// refresh requests a new list from the cached addresses, then from the seeds. If none of them
// answers, the old list stays in use for another second, because it is better than none.
func (c *addressCache) refresh(ctx context.Context) {
	for _, address := range append(append([]string(nil), c.addresses...), c.seeds...) {
		list, ok := c.fetch(ctx, address)
		if !ok || len(list.Addresses) == 0 {
			continue
		}
		c.addresses = c.addresses[:0]
		for _, a := range list.Addresses {
			c.addresses = append(c.addresses, a.Address)
		}
		c.expires = time.Now().Add(time.Duration(list.TTLSeconds) * time.Second)
		return
	}
	c.expires = time.Now().Add(time.Second)
}

// fetch requests the list from one instance; it returns false on any failure.
func (c *addressCache) fetch(ctx context.Context, address string) (addressList, bool) {
	var list addressList
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/addresses?failure_domain="+c.failureDomain, nil)
	if err != nil {
		return list, false
	}
	if c.token != "" {
		r.Header.Set(tokenHeader, "Bearer "+c.token)
	}
	response, err := c.client.Do(r)
	if err != nil {
		return list, false
	}
	defer func() { _ = response.Body.Close() }()
	return list, json.NewDecoder(response.Body).Decode(&list) == nil
}
