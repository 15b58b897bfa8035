"""The status page: one HTML document that reads /v1/status with the credential that the operator enters."""

from __future__ import annotations

HEADERS = {
    "Content-Security-Policy": "default-src 'none'; style-src 'unsafe-inline'; script-src 'unsafe-inline'; "
    "connect-src 'self'; frame-ancestors 'none'",
    "Cache-Control": "no-store",
    "X-Content-Type-Options": "nosniff",
}
HTML = """<!doctype html><html lang="en"><meta charset="utf-8"><title>lilacsill</title>
<meta name="viewport" content="width=device-width">
<style>
body{font:15px/1.45 system-ui,sans-serif;margin:2rem auto;max-width:70rem;padding:0 1rem;color:#222}
table{border-collapse:collapse;width:100%;margin:.5rem 0 1.5rem}
th,td{text-align:right;padding:.25rem .6rem;border-bottom:1px solid #ddd}
th:first-child,td:first-child{text-align:left}
th{font-weight:600;color:#555}.bad{color:#b00020}.bar{background:#8a6fb0;height:.7rem;display:block}
input{font:inherit;width:30rem;max-width:60%;padding:.3rem}button{font:inherit;padding:.3rem .8rem}
</style>
<h1>lilacsill</h1>
<form id="f"><label>Credential of an operator or auditor <input id="t" type="password" autocomplete="off"></label>
<button>Show</button></form>
<p id="m" role="status"></p><div id="o"></div>
<script>
const $=i=>document.getElementById(i);let timer=0;
function cell(row,v,c){const d=row.insertCell();if(v instanceof Node)d.append(v);else d.textContent=v;if(c)d.className=c}
function table(title,heads,rows){const h=document.createElement('h2');h.textContent=title;
 const t=document.createElement('table');const r=t.createTHead().insertRow();
 for(const x of heads){const e=document.createElement('th');e.textContent=x;r.append(e)}
 const b=t.createTBody();for(const x of rows){const r=b.insertRow();for(const c of x)Array.isArray(c)?cell(r,...c):cell(r,c)}
 return[h,t]}
const percent=x=>(100*x).toFixed(1)+'%',intime=x=>x.served?percent(x.in_aim/x.served):'-';
async function show(){clearTimeout(timer);
 try{const a=await fetch('/v1/status',{headers:{Authorization:'Bearer '+$('t').value}});const s=await a.json();
  if(!a.ok){$('m').textContent=s.detail;$('m').className='bad';$('o').replaceChildren();return}
  $('m').className='';$('m').textContent=`revision ${s.revision}, ${s.tenants} tenants, ${s.pools} pools`;
  $('o').replaceChildren(...table('Workers',['worker','serving','revision','starts','connections','CPU s','MB','held back'],
   s.workers.map(w=>[w.number,w.serving?'yes':['no','bad'],w.have===s.revision?w.have:[w.have,'bad'],w.starts,
    w.connections,w.cpu_s,w.rss_mb,w.held_back])),
   ...table('Pools of the last hour, busiest first',['pool','tenants','servers','in hand','beyond share','latency ms',
    'least ms','requests','in time','refused','failed'],s.busiest_pools.map(p=>[p.name,p.tenants,
    p.servers===null?'not used yet':p.usable<p.servers?[`${p.usable} of ${p.servers}`,'bad']:p.servers,p.in_hand,
    `${p.excess} of ${p.window}`,p.latency_ms,p.base_ms,p.requests,intime(p),p.refused,p.failed])),
   ...table('Tenants of the last hour, busiest first',['tenant','state','pool','weight','asked/s','quota/s','in hand',
    'requests','in time','refused','failed','CPU s','part by weight','part had',''],s.busiest.map(t=>{
    const b=document.createElement('span');b.className='bar';b.style.width=Math.max(1,Math.round(90*t.cpu_part))+'px';
    const over=t.quota_per_s&&t.per_s>t.quota_per_s;
    return[t.name,t.state==='active'?t.state:[t.state,'bad'],t.pool,t.weight,over?[t.per_s,'bad']:t.per_s,
    t.quota_per_s||'-',t.in_flight,t.requests,intime(t),t.refused,t.failed,t.cpu_s,percent(t.weight_part),percent(t.cpu_part),b]})));
  timer=setTimeout(show,2000)}catch(e){$('m').textContent='no answer: '+e;$('m').className='bad';timer=setTimeout(show,5000)}}
$('f').addEventListener('submit',e=>{e.preventDefault();show()});
</script></html>
"""
