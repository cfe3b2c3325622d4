#ifndef CF_TEST_APR_H
#define CF_TEST_APR_H

#include <apr_general.h>

/* APR is initialised before the first test of a program that includes this. */
static const int apr_is_ready = apr_initialize();

#endif
