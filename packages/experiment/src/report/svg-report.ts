/** Draws a report as one SVG picture. */

import type {PolicyResult} from '../run/experiment.js';
import type {RunSummary} from '../run/run-summary.js';

const rowHeight = 22;
const labelWidth = 300;
const barWidth = 420;
const timelineHeight = 160;
const margin = 20;
const colours = ['#1f77b4', '#d62728', '#2ca02c', '#9467bd', '#ff7f0e', '#555'];

/**
 * Draws the tail of each policy (bar: median p99; line: its spread; dot: median
 * p99.9) and the p99 over time of the first seed.
 *
 * @param title - The title.
 * @param results - The figures of each policy.
 * @param summaries - The runs.
 * @returns The SVG text.
 */
export function drawReport(
	title: string,
	results: readonly PolicyResult[],
	summaries: readonly RunSummary[],
): string {
	const barsHeight = results.length * rowHeight + 2 * margin;
	const services = [...new Set(results.map(({service}) => service))];
	const height = barsHeight + services.length * (timelineHeight + 2 * margin);
	const timelines = services.map((service, index) =>
		drawTimeline(
			service,
			summaries,
			barsHeight + index * (timelineHeight + 2 * margin),
		),
	);
	return [
		`<svg xmlns="http://www.w3.org/2000/svg" width="${labelWidth + barWidth + 160}" height="${height}" font-family="sans-serif" font-size="12">`,
		`<text x="4" y="14" font-weight="bold">${title}</text>`,
		...drawBars(results),
		...timelines,
		'</svg>\n',
	].join('\n');
}

function drawBars(results: readonly PolicyResult[]): string[] {
	const most = Math.max(...results.map(({p999Ms}) => p999Ms.most));
	const scale = (ms: number) => labelWidth + (ms / most) * barWidth;
	return results.map(({service, policy, p99Ms, p999Ms}, index) => {
		const y = margin + index * rowHeight;
		const middle = y + rowHeight / 2;
		return [
			`<text x="4" y="${middle + 4}">${service} ${policy}</text>`,
			`<rect x="${labelWidth}" y="${y + 3}" width="${scale(p99Ms.median) - labelWidth}" height="${rowHeight - 8}" fill="#9ecae1"/>`,
			`<line x1="${scale(p99Ms.least)}" x2="${scale(p99Ms.most)}" y1="${middle}" y2="${middle}" stroke="#08519c"/>`,
			`<circle cx="${scale(p999Ms.median)}" cy="${middle}" r="3" fill="#d62728"/>`,
			`<text x="${labelWidth + barWidth + 8}" y="${middle + 4}">${p99Ms.median.toFixed(0)} / ${p999Ms.median.toFixed(0)} ms</text>`,
		].join('');
	});
}

function drawTimeline(
	service: string,
	summaries: readonly RunSummary[],
	top: number,
): string {
	const {seed} = summaries[0]!;
	const runs = summaries.filter((run) => run.seed === seed);
	const bins = runs.flatMap((run) =>
		run.timeline.filter((bin) => bin.service === service),
	);
	const mostMs = Math.max(1, ...bins.map(({p99Ms}) => p99Ms));
	const endMs = Math.max(1, ...bins.map(({atMs}) => atMs));
	const lines = runs.map((run, index) => {
		const points = run.timeline
			.filter((bin) => bin.service === service)
			.toSorted((a, b) => a.atMs - b.atMs)
			.map(({atMs, p99Ms}) => {
				const x = margin + (atMs / endMs) * (labelWidth + barWidth);
				const y = top + timelineHeight - (p99Ms / mostMs) * timelineHeight;
				return `${x.toFixed(1)},${y.toFixed(1)}`;
			});
		const colour = colours[index % colours.length]!;
		return `<polyline fill="none" stroke="${colour}" points="${points.join(' ')}"/><text x="${margin + index * 130}" y="${top + timelineHeight + 16}" fill="${colour}">${run.policy}</text>`;
	});
	return `<text x="4" y="${top - 4}">${service}: p99 over ${endMs} ms, up to ${mostMs.toFixed(0)} ms (seed ${seed})</text>${lines.join('')}`;
}
