package main

import (
	"encoding/json"
	"net/http"
	"time"
)

// statedTTL returns how long a host says that its address answers hold.
func statedTTL(directory string) (time.Duration, error) {
	resp, err := http.Get("http://" + directory + "/v1/resolve?name=x.example&region=plateau&zone=jos-a")
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	var reply struct {
		TTL float64 `json:"ttl_s"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&reply); err != nil {
		return 0, err
	}
	return time.Duration(reply.TTL * float64(time.Second)), nil
}
