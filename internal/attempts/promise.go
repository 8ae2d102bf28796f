package attempts

import "net/http"

// PromisesNotRun reports whether a status of an answer to a caller promises that the request did not run and never
// will.
func PromisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}
