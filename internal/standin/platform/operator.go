package platform

import (
	"context"
	"io"
	"net/http"
	"strings"
)

// CallOperator sends one call of an operator, based on a version unless base is empty, and
// returns its response. The status is 0 if there was no complete response.
func CallOperator(client *http.Client, method, url, base, body string) (status int, text string) {
	request, err := http.NewRequestWithContext(context.Background(), method, url, strings.NewReader(body))
	if err != nil {
		return 0, ""
	}
	if base != "" {
		request.Header.Set("If-Match", base)
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	read, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, string(read)
}
