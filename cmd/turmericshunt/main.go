// Command turmericshunt is the entry host and its command line.
package main

func main() {}
