package toucanresponse_test

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"

	"toucanstair.example/toucanstair/toucanresponse"
)

func ExampleHoldsStatusLine() {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nDate: Monday\r\n\r\n",
		"HTTP/1.1 200 OK\r\nDate: MoHTTP/1.1 500 Internal Server Error\r\n\r\n",
		"HTTP/1.1 200 OHTTP/1.1 500 Internal Server Error\r\n\r\n",
	} {
		res, err := http.ReadResponse(bufio.NewReader(strings.NewReader(text)), nil)
		if err != nil {
			fmt.Println(err)
			continue
		}
		fmt.Println(toucanresponse.HoldsStatusLine(res))
		if err := res.Body.Close(); err != nil {
			fmt.Println(err)
		}
	}
	// Output:
	// false
	// true
	// true
}
