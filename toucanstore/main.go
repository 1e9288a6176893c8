// Command toucanstore is a stand-in of the platform's key-value service.
package main

import _ "toucanstair.example/core/toucanfault"

func main() {}
