#ifndef CF_TEST_APR_H
#define CF_TEST_APR_H

#include <apr_general.h>

/* Initialises APR before the first test of a program that includes this. */
static const int apr_is_ready = apr_initialize();

#endif
