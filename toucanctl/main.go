// Command toucanctl is the operators' tool.
package main

import _ "toucanstair.example/core/toucanfault"

func main() {}
