/** Renders a report as an SVG image. */

import type {PolicyResult} from '../run/run-experiment.js';
import type {RunSummary} from '../run/run-summary.js';

const rowHeight = 22;
const labelWidth = 300;
const barWidth = 420;
const timelineHeight = 160;
const margin = 20;
const colours = ['#1f77b4', '#d62728', '#2ca02c', '#9467bd', '#ff7f0e', '#555'];

/**
 * Renders the tail latency of each policy (bar: median p99; line: range of p99;
 * dot: median p99.9) and a timeline of p99 for the first seed.
 *
 * @param title - Title of the report.
 * @param results - Results of each policy.
 * @param summaries - Summaries of all runs.
 * @returns The SVG document.
 */
export function renderSvgReport(
	title: string,
	results: readonly PolicyResult[],
	summaries: readonly RunSummary[],
): string {
	const barsHeight = results.length * rowHeight + 2 * margin;
	const services = [...new Set(results.map(({service}) => service))];
	const height = barsHeight + services.length * (timelineHeight + 2 * margin);
	const timelines = services.map((service, index) =>
		renderTimeline(
			service,
			summaries,
			barsHeight + index * (timelineHeight + 2 * margin),
		),
	);
	return [
		`<svg xmlns="http://www.w3.org/2000/svg" width="${labelWidth + barWidth + 160}" height="${height}" font-family="sans-serif" font-size="12">`,
		`<text x="4" y="14" font-weight="bold">${title}</text>`,
		...renderBars(results),
		...timelines,
		'</svg>\n',
	].join('\n');
}

function renderBars(results: readonly PolicyResult[]): string[] {
	const maxMs = Math.max(...results.map(({p999Ms}) => p999Ms.most));
	const toX = (ms: number) => labelWidth + (ms / maxMs) * barWidth;
	return results.map(({service, policy, p99Ms, p999Ms}, index) => {
		const y = margin + index * rowHeight;
		const centreY = y + rowHeight / 2;
		return [
			`<text x="4" y="${centreY + 4}">${service} ${policy}</text>`,
			`<rect x="${labelWidth}" y="${y + 3}" width="${toX(p99Ms.median) - labelWidth}" height="${rowHeight - 8}" fill="#9ecae1"/>`,
			`<line x1="${toX(p99Ms.least)}" x2="${toX(p99Ms.most)}" y1="${centreY}" y2="${centreY}" stroke="#08519c"/>`,
			`<circle cx="${toX(p999Ms.median)}" cy="${centreY}" r="3" fill="#d62728"/>`,
			`<text x="${labelWidth + barWidth + 8}" y="${centreY + 4}">${p99Ms.median.toFixed(0)} / ${p999Ms.median.toFixed(0)} ms</text>`,
		].join('');
	});
}

function renderTimeline(
	service: string,
	summaries: readonly RunSummary[],
	topY: number,
): string {
	const {seed} = summaries[0]!;
	const runs = summaries.filter((run) => run.seed === seed);
	const bins = runs.flatMap((run) =>
		run.timeline.filter((bin) => bin.service === service),
	);
	const maxMs = Math.max(1, ...bins.map(({p99Ms}) => p99Ms));
	const endMs = Math.max(1, ...bins.map(({atMs}) => atMs));
	const lines = runs.map((run, index) => {
		const points = run.timeline
			.filter((bin) => bin.service === service)
			.toSorted((a, b) => a.atMs - b.atMs)
			.map(({atMs, p99Ms}) => {
				const x = margin + (atMs / endMs) * (labelWidth + barWidth);
				const y = topY + timelineHeight - (p99Ms / maxMs) * timelineHeight;
				return `${x.toFixed(1)},${y.toFixed(1)}`;
			});
		const colour = colours[index % colours.length]!;
		return `<polyline fill="none" stroke="${colour}" points="${points.join(' ')}"/><text x="${margin + index * 130}" y="${topY + timelineHeight + 16}" fill="${colour}">${run.policy}</text>`;
	});
	return `<text x="4" y="${topY - 4}">${service}: p99 over ${endMs} ms, up to ${maxMs.toFixed(0)} ms (seed ${seed})</text>${lines.join('')}`;
}
