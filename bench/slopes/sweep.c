#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "slopes.h"

/*
 * The table of sweeps, the line fitted to each quantity, and the output as
 * text, JSON and plot data.
 */
enum {
	PATH_SIZE = 512,
	NAMES_SIZE = 256
};

/* Of the slope of the upper half over the slope of the lower half. */
static const double bend_limit = 1.5;
static const double growth_limit = 1.2; /* of the last value over the first */

static struct sweep sweeps[SWEEPS_MAX];
static uint32_t sweep_count;

/* Begins a sweep; names lists the quantities, separated by commas. */
struct sweep *
sweep_begin(const char *role, const char *by, const char *names)
{
	struct sweep *s = &sweeps[sweep_count];
	char *copy = strdup(names);
	char *save = NULL;
	uint32_t n = 0;

	if (sweep_count == SWEEPS_MAX || copy == NULL)
		abort();
	sweep_count++;
	s->text = copy;
	s->role = role;
	s->by = by;
	for (char *t = strtok_r(copy, ",", &save); t != NULL && n < VALUES_MAX;
	     t = strtok_r(NULL, ",", &save))
		s->names[n++] = t;
	return s;
}

/* Adds a point at size x; the caller fills in its values. */
struct point *
sweep_add_point(struct sweep *sweep, double x)
{
	struct point *p = &sweep->points[sweep->count];

	if (sweep->count == POINTS_MAX)
		abort();
	sweep->count++;
	p->x = x;
	return p;
}

/* Returns the slope of a quantity between two points. */
static double
secant(const struct sweep *s, uint32_t value, uint32_t from, uint32_t to)
{
	return (s->points[to].value[value] - s->points[from].value[value]) /
	       (s->points[to].x - s->points[from].x);
}

/*
 * Fits a line to a quantity by least squares.  It grows faster than linear if
 * both the bend and the growth exceed their limits.
 */
void
sweep_fit(const struct sweep *sweep, uint32_t value, struct fit *fit)
{
	double n = sweep->count, mean_x = 0, mean_y = 0, xx = 0, xy = 0, yy = 0;
	uint32_t last = sweep->count - 1, middle = sweep->count / 2;
	double low, high;

	for (uint32_t i = 0; i < sweep->count; i++) {
		mean_x += sweep->points[i].x / n;
		mean_y += sweep->points[i].value[value] / n;
	}
	for (uint32_t i = 0; i < sweep->count; i++) {
		double dx = sweep->points[i].x - mean_x;
		double dy = sweep->points[i].value[value] - mean_y;

		xx += dx * dx;
		xy += dx * dy;
		yy += dy * dy;
	}
	fit->slope = xy / xx;
	fit->base = mean_y - fit->slope * mean_x;
	fit->r2 = yy > 0 ? xy * xy / (xx * yy) : 1;
	low = secant(sweep, value, 0, middle);
	high = secant(sweep, value, middle, last);
	fit->bend = low > 0 ? high / low : (high > 0 ? INFINITY : 1);
	fit->faster = fit->bend > bend_limit &&
		      sweep->points[last].value[value] >
			  growth_limit * sweep->points[0].value[value];
}

/* Prints the points and the fitted line of each quantity. */
void
sweep_print(FILE *file)
{
	for (uint32_t i = 0; i < sweep_count; i++) {
		const struct sweep *s = &sweeps[i];

		fprintf(file, "\n%s by %s\n", s->role, s->by);
		for (uint32_t v = 0; v < VALUES_MAX && s->names[v] != NULL;
		     v++) {
			struct fit f;

			sweep_fit(s, v, &f);
			fprintf(file, "  %-20s", s->names[v]);
			for (uint32_t p = 0; p < s->count; p++)
				fprintf(file, " %g:%.4g", s->points[p].x,
				    s->points[p].value[v]);
			fprintf(file,
			    "\n  %20s = %.4g + %.4g x, R2 %.3f, bend %.2f%s\n",
			    "", f.base, f.slope, f.r2, f.bend,
			    f.faster ? " FASTER THAN LINEAR" : "");
		}
	}
}

static void
write_json_quantity(FILE *file, const struct sweep *s, uint32_t v)
{
	struct fit f;

	sweep_fit(s, v, &f);
	fprintf(file,
	    "%s\n   \"%s\": {\"base\": %.6g, \"slope\": %.6g, \"r2\": %.4f, "
	    "\"faster\": %s, \"points\": [",
	    v > 0 ? "," : "", s->names[v], f.base, f.slope, f.r2,
	    f.faster ? "true" : "false");
	for (uint32_t p = 0; p < s->count; p++)
		fprintf(file, "%s[%g, %.6g]", p > 0 ? ", " : "", s->points[p].x,
		    s->points[p].value[v]);
	fprintf(file, "]}");
}

/* Writes the points and the fitted lines as JSON. */
void
sweep_write_json(FILE *file)
{
	fprintf(file, "[");
	for (uint32_t i = 0; i < sweep_count; i++) {
		const struct sweep *s = &sweeps[i];

		fprintf(file,
		    "%s\n {\"role\": \"%s\", \"by\": \"%s\", "
		    "\"quantities\": {",
		    i > 0 ? "," : "", s->role, s->by);
		for (uint32_t v = 0; v < VALUES_MAX && s->names[v] != NULL; v++)
			write_json_quantity(file, s, v);
		fprintf(file, "}}");
	}
	fprintf(file, "\n]\n");
}

/* Writes the data file of a sweep and its part of the gnuplot script. */
static int
plot_sweep(const char *folder, uint32_t i, FILE *script)
{
	const struct sweep *s = &sweeps[i];
	char path[PATH_SIZE];
	FILE *data;

	snprintf(path, sizeof(path), "%s/%02u.dat", folder, i);
	data = fopen(path, "w");
	if (data == NULL)
		return -1;
	for (uint32_t p = 0; p < s->count; p++) {
		fprintf(data, "%g", s->points[p].x);
		for (uint32_t v = 0; v < VALUES_MAX && s->names[v] != NULL; v++)
			fprintf(data, " %g", s->points[p].value[v]);
		fprintf(data, "\n");
	}
	fclose(data);
	fprintf(script, "set title '%s'\nset xlabel '%s'\n", s->role, s->by);
	for (uint32_t v = 0; v < VALUES_MAX && s->names[v] != NULL; v++)
		fprintf(script,
		    "%s '%02u.dat' using 1:(abs($%u)) with linespoints "
		    "title '%s'%s",
		    v > 0 ? "" : "plot", i, v + 2, s->names[v],
		    v + 1 < VALUES_MAX && s->names[v + 1] != NULL ? ", "
								  : "\n");
	return 0;
}

/*
 * Writes data files and a gnuplot script that draws all sweeps as one
 * plots.svg.  Returns 0, or -1 if a file can't be created.
 */
int
sweep_write_plot(const char *folder)
{
	char path[PATH_SIZE];
	FILE *script;
	int error = 0;

	snprintf(path, sizeof(path), "%s/plots.gp", folder);
	script = fopen(path, "w");
	if (script == NULL)
		return -1;
	fprintf(script,
	    "set terminal svg size 1300,%u font ',9'\n"
	    "set output 'plots.svg'\nset logscale xy\n"
	    "set mxtics 1\nset mytics 1\n"
	    "set key left top\nset multiplot layout %u,3\n",
	    (sweep_count + 2) / 3 * 280, (sweep_count + 2) / 3);
	for (uint32_t i = 0; i < sweep_count && error == 0; i++)
		error = plot_sweep(folder, i, script);
	fprintf(script, "unset multiplot\n");
	fclose(script);
	return error;
}
