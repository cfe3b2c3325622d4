# port_base DEFAULT: the first port of this test.  Three tests may run at a time;
# CF_TEST_SLOT keeps their ports apart, CF_PORT those of two runs.  Slots go down
# from there, as the system gives out the ports above.
port_base() { echo $((${CF_PORT:-$1} - ${CF_TEST_SLOT:-0} * 2000)); }
