import * as fs from 'node:fs';
import * as path from 'node:path';

import * as echarts from 'echarts';

import * as reports from './report.js';

const WIDTH_PX = 900;
const HEIGHT_PX = 480;

/** Data series over common x values. */
export interface Lines {
  readonly x: readonly string[];
  readonly series: readonly { readonly name: string; readonly values: readonly number[] }[];
}

/** Writes a line chart as an SVG file to the results folder. */
export function writeLines(name: string, title: string, lines: Lines): void {
  const chart = echarts.init(null, null, {
    renderer: 'svg',
    ssr: true,
    width: WIDTH_PX,
    height: HEIGHT_PX,
  });
  chart.setOption({
    animation: false,
    backgroundColor: '#ffffff',
    title: { text: title },
    legend: { top: 30, type: 'plain' },
    grid: { top: 90, left: 60, right: 20, bottom: 40 },
    xAxis: { type: 'category', data: [...lines.x] },
    yAxis: { type: 'value' },
    series: lines.series.map(({ name: label, values }) => ({
      name: label,
      type: 'line',
      data: [...values],
    })),
  });
  fs.mkdirSync(reports.RESULTS_FOLDER, { recursive: true });
  fs.writeFileSync(path.join(reports.RESULTS_FOLDER, `${name}.svg`), chart.renderToSVGString());
  chart.dispose();
}
