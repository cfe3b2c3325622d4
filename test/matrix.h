#ifndef CF_TEST_MATRIX_H
#define CF_TEST_MATRIX_H

#include <gtest/gtest.h>

#include <cstdio>
#include <functional>
#include <string>
#include <vector>

/*
 * The fault matrix: injects every fault at every step and prints one table,
 * which docs/PROOFS.md quotes.  A cell returns "" if all properties held, "-"
 * if the fault cannot happen at that step, and otherwise the violation.
 */
struct matrix {
	std::string title;
	std::vector<std::string> steps;
	std::vector<std::string> faults;
	std::function<std::string(size_t step, size_t fault)> cell;
};

/* Returns the number of cells in which a property failed. */
static inline size_t
matrix_run(const struct matrix &m)
{
	size_t failed = 0;

	printf("\n%s\n\n| step |", m.title.c_str());
	for (const auto &fault : m.faults)
		printf(" %s |", fault.c_str());
	printf("\n| --- |");
	for (size_t f = 0; f < m.faults.size(); f++)
		printf(" --- |");
	printf("\n");
	std::vector<std::string> notes;
	for (size_t s = 0; s < m.steps.size(); s++) {
		printf("| %s |", m.steps[s].c_str());
		for (size_t f = 0; f < m.faults.size(); f++) {
			std::string seen = m.cell(s, f);

			if (seen == "-") {
				printf(" n/a |");
			} else if (seen.empty()) {
				printf(" held |");
			} else {
				printf(" FAILED |");
				notes.push_back(m.steps[s] + " / " +
						m.faults[f] + ": " + seen);
				failed++;
			}
		}
		printf("\n");
	}
	for (const auto &note : notes)
		printf("%s\n", note.c_str());
	printf("\n");
	return failed;
}

#endif
